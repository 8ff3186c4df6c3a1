#ifndef TOUCANWHARF_STANDINS_PLATFORM_FAULTS_H_
#define TOUCANWHARF_STANDINS_PLATFORM_FAULTS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

namespace toucanwharf::standins {

/// The platform's injected faults, and the counters of its calls.
/// Thread safety: safe; all methods may be called concurrently.
class Faults {
 public:
  /// Sets the faults that \p body names; the others are unchanged.
  void Set(const nlohmann::json& body);
  /// Returns the current setting of every fault.
  nlohmann::json Get();
  /// Returns whether an outage is injected.
  bool Outage();
  /// Returns whether calls during an outage get no response instead of a 503.
  bool Unresponsive();
  /// Returns the delay added to each call.
  std::chrono::milliseconds Delay();
  /// Returns whether to drop the response to this write; if so, decrements the
  /// number of responses still to drop.
  bool ConsumeLostAnswer();
  /// Returns whether this read is to be stale; if so, decrements the number of
  /// stale reads to come.
  bool ConsumeStaleRead();

  /// Counts one call of \p kind.
  void Count(const std::string& kind);
  /// Returns the number of calls by kind, and in total.
  nlohmann::json Counters();

 private:
  std::mutex mutex;
  bool outage = false;
  bool unresponsive = false;
  std::uint64_t slow_ms = 0;
  std::uint64_t lose_answers = 0;
  std::uint64_t stale_reads = 0;
  std::uint64_t list_lag_ms = 0;
  std::map<std::string, std::uint64_t> calls;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_PLATFORM_FAULTS_H_
