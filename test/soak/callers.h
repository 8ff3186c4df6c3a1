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

/// One request as its caller saw it.
struct Seen {
  std::string id;
  RequestKind kind = RequestKind::kRead;
  std::size_t router = 0;
  Clock::time_point sent;
  process_test::Answer answer;
  /// Events of a stream.
  std::vector<int> events;
  /// The caller left before the end.
  bool left = false;
};

/// Callers that call routers at random, each in a thread of its own, until
/// they are stopped. They keep calling routers that are being stopped.
/// Thread safety: none; one thread.
class Callers {
 public:
  Callers(process_test::PlatformFleet& called, const SoakSettings& settings);
  /// Stops them, if Stop was not called because something threw before.
  ~Callers() { this->Join(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// Lets them finish what is under way and returns all that they saw.
  std::vector<Seen> Stop();

 private:
  void Join();
  void Run(std::size_t number, std::uint64_t seed, std::size_t routers);
  Seen CallOnce(const std::string& id, std::uint64_t draw, std::size_t router);

  process_test::PlatformFleet& fleet;
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::vector<Seen> seen;
  std::vector<std::thread> threads;
};

}  // namespace toucanwharf::soak

#endif  // TOUCANWHARF_TEST_SOAK_CALLERS_H_
