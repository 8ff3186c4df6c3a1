#ifndef TOUCANWHARF_TEST_SOAK_CALLERS_H_
#define TOUCANWHARF_TEST_SOAK_CALLERS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "test/process/platform_fleet.h"
#include "test/soak/kept_connection.h"
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
  Clock::time_point ended;
  /// Of an answer of over kKeptBodyBytes only the first are kept.
  process_test::Answer answer;
  /// How the body differs from the whole one of the endpoint that the answer
  /// names; empty if it doesn't.
  std::string body_defect;
  /// Whether bytes came after the answer that belong to none.
  bool has_more = false;
  /// Events of a stream.
  std::vector<int> events;
  /// Whether the caller was to disconnect before the end.
  bool disconnected = false;
};

/// Time that callers give plain requests.
inline constexpr std::chrono::milliseconds kPlainDeadline{4000};
inline constexpr std::size_t kKeptBodyBytes = 4096;

/// Returns how the body of \p answer to the request \p id for \p target
/// differs from the whole one; empty if it doesn't. Thread safety: safe.
std::string BodyDefect(RequestKind kind, const std::string& id,
                       const std::string& target,
                       const process_test::Answer& answer);

/// What makes a request crash endpoints.
enum class CrashCause { kContent, kPromptPart };

/// Returns the id of the request \p number that crashes endpoints for \p cause
/// and is sent to \p router.
std::string CrashingId(CrashCause cause, std::uint64_t number,
                       std::size_t router);
/// Returns the router of an id of CrashingId for \p cause; nothing for other
/// ids.
std::optional<std::size_t> RouterOfCrashing(CrashCause cause,
                                            const std::string& id);

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

  /// Sets whether a further caller sends the request that crashes endpoints.
  void SendCrashing(bool active) { this->crashing = active; }
  /// The same for different requests with the part that crashes engines.
  void SendCrashingParts(bool active) { this->crashing_parts = active; }
  /// Sets which router the callers that keep connections prefer, if any.
  void PreferRouter(std::optional<std::size_t> router) {
    this->preferred = router.value_or(kNoRouter);
  }
  /// Waits for the requests in flight and returns all requests, but those that
  /// crash endpoints.
  std::vector<ObservedRequest> Stop();

 private:
  void Join();
  void Run(std::size_t number, std::uint64_t seed, std::size_t routers);
  /// Sends requests that crash endpoints for \p cause while \p active.
  void RunCrashing(CrashCause cause, const std::atomic<bool>& active,
                   std::uint64_t seed, std::size_t routers);
  /// Sends requests on connections that are kept, several to each router.
  void RunKept(std::size_t number, std::uint64_t seed, std::size_t routers);
  ObservedRequest CallKept(KeptConnection& connection, const std::string& id,
                           RequestKind kind, std::size_t router);
  ObservedRequest CallOnce(const std::string& id, std::uint64_t draw,
                           std::size_t router);

  static constexpr std::size_t kNoRouter = ~std::size_t{0};

  process_test::PlatformFleet& fleet;
  std::atomic<bool> stopping{false};
  std::atomic<bool> crashing{false};
  std::atomic<bool> crashing_parts{false};
  std::atomic<std::size_t> preferred{kNoRouter};
  /// Whether answers are also long.
  bool has_long_answers = false;
  /// Whether prompts have shared parts.
  bool has_parts = false;
  std::mutex mutex;
  std::vector<ObservedRequest> observed;
  std::vector<std::thread> threads;
};

}  // namespace toucanwharf::soak

#endif  // TOUCANWHARF_TEST_SOAK_CALLERS_H_
