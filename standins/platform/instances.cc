#include "standins/platform/instances.h"

namespace toucanwharf::standins {
namespace {

constexpr std::chrono::minutes kKept{10};

}  // namespace

void InstanceList::Put(const nlohmann::json& instance) {
  const std::lock_guard lock(this->mutex);
  const auto id = instance.value("id", std::string());
  nlohmann::json& entry = this->now[id];
  if (!entry.is_object()) entry = nlohmann::json::object();
  entry.update(instance);
  if (!entry.contains("state")) entry["state"] = "live";
  this->Remember();
}

void InstanceList::Remove(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  this->now.erase(id);
  this->Remember();
}

void InstanceList::SetLag(std::chrono::milliseconds list_lag) {
  const std::lock_guard lock(this->mutex);
  this->lag = list_lag;
}

nlohmann::json InstanceList::Seen() {
  const std::lock_guard lock(this->mutex);
  const TimePoint until = std::chrono::steady_clock::now() - this->lag;
  const Entries* seen = nullptr;
  for (const Past& state : this->past) {
    if (state.since <= until) seen = &state.entries;
  }
  nlohmann::json list = nlohmann::json::array();
  if (seen != nullptr) {
    for (const auto& [id, entry] : *seen) list.push_back(entry);
  }
  return {{"instances", list}};
}

void InstanceList::Remember() {
  const TimePoint time = std::chrono::steady_clock::now();
  this->past.push_back(Past{time, this->now});
  while (this->past.size() > 1 && this->past[1].since < time - kKept) {
    this->past.pop_front();
  }
}

}  // namespace toucanwharf::standins
