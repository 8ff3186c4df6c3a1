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

/// Names a timer of one loop; 0 names none.
using TimerId = std::uint64_t;

/// The one thread on which all decisions of a process are taken.
///
/// Everything that reads or changes state of the core runs here, so that the
/// core needs no locks; other threads (HTTP in, gRPC) hand their work over by
/// Post. The loop waits in libcurl's multi interface, which also carries the
/// process's own HTTP calls (http_client.h).
class EventLoop {
 public:
  using Task = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs \p task on the loop's thread, after what was posted before it. A
  /// task posted after Stop may never run.
  /// Thread safety: safe.
  void Post(Task task);

  /// Runs \p task once, \p delay from now.
  /// Precondition: called on the loop's thread, or before Run.
  TimerId After(Duration delay, Task task);

  /// Forgets a timer; one that has run, or 0, is ignored.
  /// Precondition: called on the loop's thread, or before Run.
  void CancelTimer(TimerId id);

  /// Serves tasks, timers and transfers until Stop.
  /// Precondition: called once, by the thread that becomes the loop's.
  void Run();

  /// Makes Run return soon. Thread safety: safe, also in a signal handler's
  /// thread, but not inside a signal handler.
  void Stop();

  /// Returns the time on the clock that the timers use.
  /// Thread safety: safe.
  TimePoint Now() const { return this->clock.Now(); }

  /// Returns libcurl's multi handle. Only for the HTTP client.
  void* MultiHandle() const { return this->multi; }

  /// Sets what is called after each round of transfers.
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
  /// Guards `posted`. A POSIX mutex and not Abseil's: ThreadSanitizer follows
  /// it without a build of Abseil of our own.
  std::mutex mutex;
  std::vector<Task> posted;
  std::map<std::pair<TimePoint, TimerId>, Task> timers;
  std::map<TimerId, TimePoint> due_times;
  TimerId last_timer = 0;
};

}  // namespace toucanwharf::transport

#endif  // TOUCANWHARF_TRANSPORT_EVENT_LOOP_H_
