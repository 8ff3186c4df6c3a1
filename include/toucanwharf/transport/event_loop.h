#ifndef TOUCANWHARF_TRANSPORT_EVENT_LOOP_H_
#define TOUCANWHARF_TRANSPORT_EVENT_LOOP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::transport {

/// Identifies a timer of one loop; 0 identifies none.
using TimerId = std::uint64_t;

/// Event loop of the single thread that owns the state of a process.
///
/// Everything that reads or changes state of the core runs here, so that the
/// core needs no locks; other threads (HTTP server, gRPC) submit tasks by Post.
/// The loop waits in libcurl's multi interface, which also carries the
/// process's outgoing HTTP calls (http_client.h).
class EventLoop {
 public:
  using Task = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Queues \p task for the loop's thread, after those posted earlier. A
  /// task posted after Stop may never run.
  /// Thread safety: safe.
  void Post(Task task);

  /// Runs \p task once, \p delay from now.
  /// Precondition: called on the loop's thread, or before Run.
  TimerId After(Duration delay, Task task);

  /// Cancels a timer; one that has run, or 0, is ignored.
  /// Precondition: called on the loop's thread, or before Run.
  void CancelTimer(TimerId id);

  /// Runs tasks, timers and transfers until Stop.
  /// Precondition: called once, on the thread that becomes the loop's.
  void Run();

  /// Makes Run return after the current round. Thread safety: safe, also in a
  /// signal handler's thread, but not inside a signal handler.
  void Stop();

  /// Returns the time on the clock that the timers use.
  /// Thread safety: safe.
  TimePoint Now() const { return this->clock.Now(); }

  /// Returns libcurl's multi handle. Only for the HTTP client.
  void* MultiHandle() const { return this->multi; }

  /// Sets a callback that runs after each round of transfers.
  /// Precondition: before Run. Only for the HTTP client.
  void SetTransfersHook(Task hook) { this->transfers_hook = std::move(hook); }

 private:
  void RunPosted();
  void RunTimers();
  int WaitMillis() const;

  BootClock clock;
  void* multi;
  Task transfers_hook;
  std::atomic<bool> stopping{false};
  /// Guards `posted`. A std::mutex and not Abseil's: ThreadSanitizer
  /// supports it without an instrumented build of Abseil.
  std::mutex mutex;
  std::vector<Task> posted;
  std::map<std::pair<TimePoint, TimerId>, Task> timers;
  std::map<TimerId, TimePoint> due_times;
  TimerId last_timer = 0;
};

}  // namespace toucanwharf::transport

#endif  // TOUCANWHARF_TRANSPORT_EVENT_LOOP_H_
