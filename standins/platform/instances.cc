#include "standins/platform/instances.h"

namespace toucanwharf::standins {
namespace {

/// Upper bound of the lag that can be simulated exactly.
constexpr std::chrono::minutes kHistoryLength{10};

}  // namespace

void InstanceList::Put(const nlohmann::json& instance) {
  const std::lock_guard lock(this->mutex);
  const auto id = instance.value("id", std::string());
  nlohmann::json& entry = this->current[id];
  if (!entry.is_object()) entry = nlohmann::json::object();
  entry.update(instance);
  if (!entry.contains("state")) entry["state"] = "live";
  this->SaveSnapshot();
}

void InstanceList::Remove(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->current.erase(id);
  this->SaveSnapshot();
}

void InstanceList::SetLag(std::chrono::milliseconds list_lag) {
  const std::lock_guard lock(this->mutex);
  this->lag = list_lag;
}

nlohmann::json InstanceList::Visible() {
  const std::lock_guard lock(this->mutex);
  const TimePoint until = std::chrono::steady_clock::now() - this->lag;
  const Entries* visible = nullptr;
  for (const Snapshot& snapshot : this->history) {
    if (snapshot.since <= until) visible = &snapshot.entries;
  }
  nlohmann::json list = nlohmann::json::array();
  if (visible != nullptr) {
    for (const auto& [id, entry] : *visible) list.push_back(entry);
  }
  return {{"instances", list}};
}

void InstanceList::SaveSnapshot() {
  const TimePoint time = std::chrono::steady_clock::now();
  this->history.push_back(Snapshot{time, this->current});
  while (this->history.size() > 1 &&
         this->history[1].since < time - kHistoryLength) {
    this->history.pop_front();
  }
}

}  // namespace toucanwharf::standins
