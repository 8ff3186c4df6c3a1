#ifndef TOUCANWHARF_TEST_SOAK_CALLERS_H_
#define TOUCANWHARF_TEST_SOAK_CALLERS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "test/process/platform_fleet.h"
#include "test/soak/plan.h"

namespace toucanwharf::soak {

using Clock = std::chrono::steady_clock;

enum class RequestKind { kRead, kSign, kStream, kSecondCustomer };

/// One request and its response, as observed by the caller.
struct ObservedRequest {
  std::string id;
  RequestKind kind = RequestKind::kRead;
  std::size_t router = 0;
  Clock::time_point sent;
  process_test::Answer answer;
  /// Events of a stream.
  std::vector<int> events;
  /// Whether the caller was to disconnect before the end.
  bool disconnected = false;
};

/// Callers that send requests to random routers, each in its own thread, until
/// they are stopped. They also call routers that are stopping or down.
/// Thread safety: none; one thread.
class Callers {
 public:
  Callers(process_test::PlatformFleet& called, const SoakSettings& settings);
  /// Stops the callers if Stop was not called because of an exception.
  ~Callers() { this->Join(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// Waits for the requests in flight and returns all requests.
  std::vector<ObservedRequest> Stop();

 private:
  void Join();
  void Run(std::size_t number, std::uint64_t seed, std::size_t routers);
  ObservedRequest CallOnce(const std::string& id, std::uint64_t draw,
                           std::size_t router);

  process_test::PlatformFleet& fleet;
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::vector<ObservedRequest> observed;
  std::vector<std::thread> threads;
};

}  // namespace toucanwharf::soak

#endif  // TOUCANWHARF_TEST_SOAK_CALLERS_H_
