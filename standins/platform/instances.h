#ifndef TOUCANWHARF_STANDINS_PLATFORM_INSTANCES_H_
#define TOUCANWHARF_STANDINS_PLATFORM_INSTANCES_H_

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace toucanwharf::standins {

/// The platform's list of instances, shown as it was a while ago.
/// Thread safety: all methods may be called at once from several threads.
class InstanceList {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Adds \p instance or changes what is known of its id.
  void Put(const nlohmann::json& instance);
  /// Takes \p id from the list.
  void Remove(const std::string& id);
  /// Sets how old the list is that callers see.
  void SetLag(std::chrono::milliseconds list_lag);
  /// Returns the list as it was one lag ago.
  nlohmann::json Seen();

 private:
  using Entries = std::map<std::string, nlohmann::json>;
  struct Past {
    TimePoint since;
    Entries entries;
  };

  void Remember();

  std::mutex mutex;
  std::chrono::milliseconds lag{0};
  Entries now;
  std::deque<Past> past;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_PLATFORM_INSTANCES_H_
