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

/// Client of the platform's object API over HTTP, and the drivers that run the
/// core's state machines on it.
namespace toucanwharf::platform {

enum class WatchStatus { kEvents, kRevisionExpired, kUnknown };

/// Result of a watch.
struct WatchAnswer {
  WatchStatus status = WatchStatus::kUnknown;
  /// Revision of the collection after the events.
  store::Revision revision;
  std::vector<store::Event> events;

  friend bool operator==(const WatchAnswer&, const WatchAnswer&) = default;
};

/// Calls the platform within this instance's call budget. A call that the
/// budget or an outage delays for too long ends as unknown. Every callback runs
/// once, asynchronously, on the loop's thread.
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
  /// Writes unconditionally: only for objects with a single writer, or that are
  /// corrected by a later write. \p done, if any, receives whether the write is
  /// known to have taken effect.
  void Put(const store::ObjectKey& key, const std::string& writer,
           const std::string& value, std::function<void(bool)> done = nullptr);
  /// Passes nothing to \p done when there was no valid response.
  void List(const std::string& collection,
            std::function<void(std::optional<store::Listing>)> done);
  /// Waits up to \p wait for changes after revision \p after.
  void Watch(const std::string& collection, const store::Revision& after,
             Duration wait, std::function<void(WatchAnswer)> done);

  /// Returns the number of calls sent so far.
  std::uint64_t Calls() const { return this->calls; }
  /// Returns whether the last call got no response.
  bool Failing() const { return this->call_limiter.Failing(); }

 private:
  using Done = std::function<void(const transport::HttpOutcome&)>;

  void Start(transport::HttpCall call, store::CallLimiter& limiter, Done done);
  void StartWhenAllowed(transport::HttpCall call, store::CallLimiter& limiter,
                        Done done, TimePoint deadline);

  transport::EventLoop& loop;
  transport::HttpClient& http;
  std::string address;
  store::CallLimiter call_limiter;
  /// Watches are long-lived and must not count as calls in flight in
  /// `call_limiter`.
  store::CallLimiter watch_limiter;
  std::uint64_t calls = 0;
};

}  // namespace toucanwharf::platform

#endif  // TOUCANWHARF_PLATFORM_CLIENT_H_
