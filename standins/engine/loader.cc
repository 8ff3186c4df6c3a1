#include "standins/engine/loader.h"

#include <algorithm>
#include <vector>

namespace toucanwharf::standins {
namespace {

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// Returns the number of layers and adapters that have to be loaded.
std::uint64_t PartsToLoad(const Load& held, const Load& target) {
  const bool same =
      held.model == target.model && held.version == target.version;
  std::uint64_t parts = 0;
  for (auto layer = target.layers.begin; layer < target.layers.end; ++layer) {
    const bool present = layer >= held.layers.begin && layer < held.layers.end;
    if (!same || !present) ++parts;
  }
  for (const std::string& adapter : target.adapters) {
    if (!same || !Contains(held.adapters, adapter)) ++parts;
  }
  return parts;
}

}  // namespace

Loader::Loader(const EngineSettings& engine_settings)
    : checks_fencing(engine_settings.fencing == "checked"),
      load_millis(engine_settings.load_millis),
      current(engine_settings.load) {}

bool Loader::Order(const nlohmann::json& body) {
  const auto order_number = body.at("fencing_number").get<std::uint64_t>();
  const nlohmann::json& desired = body.at("desired");
  Load target;
  target.model = desired.at("model").get<std::string>();
  target.version = desired.at("version").get<std::string>();
  target.adapters = desired.value("adapters", std::vector<std::string>());
  target.layers.begin = desired.at("layers").at("begin").get<std::uint32_t>();
  target.layers.end = desired.at("layers").at("end").get<std::uint32_t>();
  const std::lock_guard lock(this->mutex);
  this->ApplyFinishedLoad();
  if (this->checks_fencing && order_number < this->fencing_number) return false;
  this->fencing_number = std::max(this->fencing_number, order_number);
  if (target == this->next.value_or(this->current)) return true;
  const std::uint64_t parts = PartsToLoad(this->current, target);
  this->next = target;
  this->ready_at = std::chrono::steady_clock::now() +
                   std::chrono::milliseconds(parts * this->load_millis);
  this->ApplyFinishedLoad();
  return true;
}

Load Loader::Current() {
  const std::lock_guard lock(this->mutex);
  this->ApplyFinishedLoad();
  return this->current;
}

bool Loader::Loading() {
  const std::lock_guard lock(this->mutex);
  this->ApplyFinishedLoad();
  return this->next.has_value();
}

std::uint64_t Loader::FencingNumber() {
  const std::lock_guard lock(this->mutex);
  return this->fencing_number;
}

bool Loader::Serves(const Weights& weights, const LayerRange& layers) {
  const Load held = this->Current();
  const bool adapter =
      weights.adapter.empty() || Contains(held.adapters, weights.adapter);
  return adapter && held.model == weights.model &&
         held.version == weights.version && held.layers == layers;
}

void Loader::ApplyFinishedLoad() {
  if (!this->next || std::chrono::steady_clock::now() < this->ready_at) return;
  this->current = *this->next;
  this->next.reset();
}

}  // namespace toucanwharf::standins
