#ifndef TOUCANWHARF_STANDINS_PLATFORM_INSTANCES_H_
#define TOUCANWHARF_STANDINS_PLATFORM_INSTANCES_H_

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace toucanwharf::standins {

/// The platform's list of instances. Callers see it with a configurable lag.
/// Thread safety: safe; all methods may be called concurrently.
class InstanceList {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Adds \p instance, or merges it into the entry with the same id.
  void Put(const nlohmann::json& instance);
  void Remove(const std::string& id);
  /// Sets the age of the list that callers see.
  void SetLag(std::chrono::milliseconds list_lag);
  /// Returns the list as it was before the lag.
  nlohmann::json Visible();

 private:
  using Entries = std::map<std::string, nlohmann::json>;
  struct Snapshot {
    TimePoint since;
    Entries entries;
  };

  void SaveSnapshot();

  std::mutex mutex;
  std::chrono::milliseconds lag{0};
  Entries current;
  std::deque<Snapshot> history;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_PLATFORM_INSTANCES_H_
