#ifndef TOUCANWHARF_STANDINS_PLATFORM_FAULTS_H_
#define TOUCANWHARF_STANDINS_PLATFORM_FAULTS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace toucanwharf::standins {

/// The switches of the platform, and the counters of its calls.
/// Thread safety: all methods may be called at once from several threads.
class Faults {
 public:
  /// Takes over the switches that \p body names; others stay.
  void Set(const nlohmann::json& body);
  /// Returns all switches as they are.
  nlohmann::json Get();
  /// Returns whether the platform is down.
  bool Outage();
  /// Returns whether an outage shows by no answer at all, not by a 503.
  bool Silent();
  /// Returns the delay of each call.
  std::chrono::milliseconds Slowness();
  /// Uses up one lost answer; returns whether there was one left.
  bool LoseAnswer();
  /// Uses up one stale read; returns whether there was one left.
  bool StaleRead();

  /// Counts one call of \p kind.
  void Count(const std::string& kind);
  /// Returns the calls by kind, and their total.
  nlohmann::json Counters();

 private:
  std::mutex mutex;
  bool outage = false;
  bool silent = false;
  std::uint64_t slow_ms = 0;
  std::uint64_t lose_answers = 0;
  std::uint64_t stale_reads = 0;
  std::uint64_t list_lag_ms = 0;
  std::map<std::string, std::uint64_t> calls;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_PLATFORM_FAULTS_H_
