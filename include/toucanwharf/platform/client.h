#ifndef TOUCANWHARF_PLATFORM_CLIENT_H_
#define TOUCANWHARF_PLATFORM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/store/call_limiter.h"
#include "toucanwharf/store/object.h"
#include "toucanwharf/transport/event_loop.h"
#include "toucanwharf/transport/http_client.h"

/// The platform's object API over HTTP, and the drivers of the core's state
/// machines that work on it.
namespace toucanwharf::platform {

enum class WatchStatus { kEvents, kRevisionExpired, kUnknown };

/// Answer of a watch.
struct WatchAnswer {
  WatchStatus status = WatchStatus::kUnknown;
  /// Revision that the events lead to.
  std::uint64_t reached = 0;
  std::vector<store::Event> events;

  friend bool operator==(const WatchAnswer&, const WatchAnswer&) = default;
};

/// Calls the platform within this instance's budget. A call that the budget or
/// an outage holds back waits, and ends as unknown when it waited too long.
/// Every callback runs once, later, on the loop's thread.
/// Thread safety: none; for the loop's thread.
class Client {
 public:
  /// Precondition: \p loop and \p http outlive the client.
  Client(transport::EventLoop& loop, transport::HttpClient& http,
         std::string address, std::uint64_t seed);

  void Read(const store::ObjectKey& key,
            std::function<void(store::ReadAnswer)> done);
  void Write(const store::Write& write,
             std::function<void(store::WriteAnswer)> done);
  /// Writes without a condition: only for objects of one writer, or such as
  /// are put right again later. \p done, if any, is told whether the write
  /// surely took effect.
  void Put(const store::ObjectKey& key, const std::string& writer,
           const std::string& value, std::function<void(bool)> done = nullptr);
  /// Calls back with nothing when there was no answer.
  void List(const std::string& collection,
            std::function<void(std::optional<store::Listing>)> done);
  /// Waits up to \p wait for changes after the revision \p after.
  void Watch(const std::string& collection, std::uint64_t after, Duration wait,
             std::function<void(WatchAnswer)> done);

  /// Returns the number of calls sent so far.
  std::uint64_t Calls() const { return this->calls; }
  /// Returns whether the last call went unanswered.
  bool Failing() const { return this->gate.Failing(); }

 private:
  using Done = std::function<void(const transport::HttpOutcome&)>;

  void Start(transport::HttpCall call, store::CallLimiter& through, Done done);
  void Enter(transport::HttpCall call, store::CallLimiter& through, Done done,
             TimePoint give_up);

  transport::EventLoop& loop;
  transport::HttpClient& http;
  std::string address;
  store::CallLimiter gate;
  /// Watches wait long, and must not count as calls under way in `gate`.
  store::CallLimiter watch_gate;
  std::uint64_t calls = 0;
};

}  // namespace toucanwharf::platform

#endif  // TOUCANWHARF_PLATFORM_CLIENT_H_
