#ifndef TOUCANWHARF_HTTP_LOOP_H_
#define TOUCANWHARF_HTTP_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::http {

/// Identifies a timer of one loop; 0 identifies none.
using TimerId = std::uint64_t;

/// Event loop of the single thread of a process that serves sockets and runs
/// all state changes, so that the core needs no locks.
/// Thread safety: all methods only on the thread that runs the loop, or before
/// Run; Post and Stop from any thread.
class Loop {
 public:
  using Task = std::function<void()>;

  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  /// Queues \p task; never runs it inside this call.
  void Post(Task task);
  /// Runs \p task once, \p delay from now on the boot clock.
  TimerId After(Duration delay, Task task);
  /// Runs \p task every \p period, first after one period.
  void Every(Duration period, const Task& task);
  /// Cancels a timer; one that has run, or 0, is ignored.
  void Cancel(TimerId id);
  /// Runs \p task on the loop at each signal \p number.
  void OnSignal(int number, Task task);
  /// Serves until Stop. Precondition: called once.
  void Run();
  /// Drops all timers. After Run, so that no task outlives what it refers to.
  void DropTimers();
  /// Makes Run return after the current task.
  void Stop();
  /// Returns the time on the clock that the timers use.
  TimePoint Now() const { return this->clock.Now(); }

  struct State;
  /// Returns the state shared with the sockets of this library.
  State& InternalState() { return *this->state; }

 private:
  void ArmAlarm();
  void RunDueTimers();

  BootClock clock;
  std::unique_ptr<State> state;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_HTTP_LOOP_H_
