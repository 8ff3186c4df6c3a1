#include "standins/engine/loader.h"

#include <algorithm>
#include <vector>

namespace toucanwharf::standins {
namespace {

bool Holds(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// Layers and adapters that the weight store has to send.
std::uint64_t PiecesToLoad(const Load& held, const Load& wanted) {
  const bool same =
      held.model == wanted.model && held.version == wanted.version;
  std::uint64_t pieces = 0;
  for (auto at = wanted.layers.begin; at < wanted.layers.end; ++at) {
    const bool kept = at >= held.layers.begin && at < held.layers.end;
    if (!same || !kept) ++pieces;
  }
  for (const std::string& adapter : wanted.adapters) {
    if (!same || !Holds(held.adapters, adapter)) ++pieces;
  }
  return pieces;
}

}  // namespace

Loader::Loader(const EngineSettings& engine_settings)
    : checks_fencing(engine_settings.fencing == "checked"),
      load_millis(engine_settings.load_millis),
      current(engine_settings.load) {}

bool Loader::Order(const nlohmann::json& body) {
  const auto number = body.at("fencing_number").get<std::uint64_t>();
  const nlohmann::json& desired = body.at("desired");
  Load wanted;
  wanted.model = desired.at("model").get<std::string>();
  wanted.version = desired.at("version").get<std::string>();
  wanted.adapters = desired.value("adapters", std::vector<std::string>());
  wanted.layers.begin = desired.at("layers").at("begin").get<std::uint32_t>();
  wanted.layers.end = desired.at("layers").at("end").get<std::uint32_t>();
  const std::lock_guard lock(this->mutex);
  this->Settle();
  if (this->checks_fencing && number < this->fencing_number) return false;
  this->fencing_number = std::max(this->fencing_number, number);
  if (wanted == this->next.value_or(this->current)) return true;
  const std::uint64_t pieces = PiecesToLoad(this->current, wanted);
  this->next = wanted;
  this->ready = std::chrono::steady_clock::now() +
                std::chrono::milliseconds(pieces * this->load_millis);
  this->Settle();
  return true;
}

Load Loader::Current() {
  const std::lock_guard lock(this->mutex);
  this->Settle();
  return this->current;
}

bool Loader::Loading() {
  const std::lock_guard lock(this->mutex);
  this->Settle();
  return this->next.has_value();
}

std::uint64_t Loader::FencingNumber() {
  const std::lock_guard lock(this->mutex);
  return this->fencing_number;
}

bool Loader::Serves(const Weights& weights, const LayerRange& layers) {
  const Load held = this->Current();
  const bool adapter =
      weights.adapter.empty() || Holds(held.adapters, weights.adapter);
  return adapter && held.model == weights.model &&
         held.version == weights.version && held.layers == layers;
}

void Loader::Settle() {
  if (!this->next || std::chrono::steady_clock::now() < this->ready) return;
  this->current = *this->next;
  this->next.reset();
}

}  // namespace toucanwharf::standins
