#include "standins/platform/faults.h"

namespace toucanwharf::standins {
namespace {

bool ConsumeOne(std::uint64_t& remaining) {
  if (remaining == 0) return false;
  --remaining;
  return true;
}

}  // namespace

void Faults::Set(const nlohmann::json& body) {
  const std::lock_guard lock(this->mutex);
  this->outage = body.value("outage", this->outage);
  this->unresponsive =
      body.value("outage_mode", this->unresponsive ? "silent" : "503") ==
      "silent";
  this->slow_ms = body.value("slow_ms", this->slow_ms);
  this->lose_answers = body.value("lose_answers", this->lose_answers);
  this->stale_reads = body.value("stale_reads", this->stale_reads);
  this->list_lag_ms = body.value("list_lag_ms", this->list_lag_ms);
}

nlohmann::json Faults::Get() {
  const std::lock_guard lock(this->mutex);
  return {{"outage", this->outage},
          {"outage_mode", this->unresponsive ? "silent" : "503"},
          {"slow_ms", this->slow_ms},
          {"lose_answers", this->lose_answers},
          {"stale_reads", this->stale_reads},
          {"list_lag_ms", this->list_lag_ms}};
}

bool Faults::Outage() {
  const std::lock_guard lock(this->mutex);
  return this->outage;
}

bool Faults::Unresponsive() {
  const std::lock_guard lock(this->mutex);
  return this->unresponsive;
}

std::chrono::milliseconds Faults::Delay() {
  const std::lock_guard lock(this->mutex);
  return std::chrono::milliseconds(this->slow_ms);
}

bool Faults::ConsumeLostAnswer() {
  const std::lock_guard lock(this->mutex);
  return ConsumeOne(this->lose_answers);
}

bool Faults::ConsumeStaleRead() {
  const std::lock_guard lock(this->mutex);
  return ConsumeOne(this->stale_reads);
}

void Faults::Count(const std::string& kind) {
  const std::lock_guard lock(this->mutex);
  ++this->calls[kind];
}

nlohmann::json Faults::Counters() {
  const std::lock_guard lock(this->mutex);
  nlohmann::json counters = nlohmann::json::object();
  std::uint64_t total = 0;
  for (const auto& [kind, count] : this->calls) {
    counters[kind] = count;
    total += count;
  }
  counters["total"] = total;
  return counters;
}

}  // namespace toucanwharf::standins
