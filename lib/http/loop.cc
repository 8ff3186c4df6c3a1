#include "toucanwharf/http/loop.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "loop_state.h"

namespace toucanwharf::http {
namespace {

/// Timers due within this time of each other run in one wake-up. Every timeout
/// that a timer implements is at least a hundred times as long.
constexpr Duration kTimerSlack = std::chrono::milliseconds(1);
/// The steady clock of the alarm stops while the machine is suspended and the
/// boot clock doesn't, so the alarm fires at least this often.
constexpr Duration kMaxSleep = std::chrono::seconds(1);

void AwaitSignal(boost::asio::signal_set& set, const Loop::Task& task) {
  set.async_wait([&set, task](const boost::system::error_code& error, int) {
    if (error) return;
    task();
    AwaitSignal(set, task);
  });
}

}  // namespace

Loop::Loop() : state(std::make_unique<State>()) {}

/// Tasks may hold sockets, which must not outlive the context.
Loop::~Loop() { this->DropTimers(); }

void Loop::DropTimers() {
  this->state->bulk.Clear();
  while (!this->state->timers.empty()) {
    this->Cancel(this->state->timers.begin()->first.second);
  }
}

void Loop::Post(Task task) {
  boost::asio::post(this->state->context, std::move(task));
}

TimerId Loop::After(Duration delay, Task task) {
  State& inner = *this->state;
  const TimerId id = ++inner.last_timer;
  const TimePoint due = this->Now() + std::max(delay, Duration(0));
  inner.timers.emplace(std::pair(due, id), std::move(task));
  inner.due_times.emplace(id, due);
  this->ArmAlarm();
  return id;
}

void Loop::Every(Duration period, const Task& task) {
  this->After(period, [this, period, task] {
    this->Every(period, task);
    task();
  });
}

void Loop::Cancel(TimerId id) {
  State& inner = *this->state;
  const auto found = inner.due_times.find(id);
  if (found == inner.due_times.end()) return;
  inner.timers.erase(std::pair(found->second, id));
  inner.due_times.erase(found);
}

void Loop::ArmAlarm() {
  State& inner = *this->state;
  if (inner.timers.empty()) return;
  const TimePoint first = inner.timers.begin()->first.first;
  if (first >= inner.armed_for) return;
  const Duration wait = std::clamp(first - this->Now(), Duration(0), kMaxSleep);
  inner.armed_for = first;
  inner.alarm.expires_after(wait);
  inner.alarm.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    this->state->armed_for = TimePoint{Duration::max()};
    this->RunDueTimers();
    this->ArmAlarm();
  });
}

void Loop::RunDueTimers() {
  State& inner = *this->state;
  const TimePoint now = this->Now() + kTimerSlack;
  while (!inner.timers.empty()) {
    const auto first = inner.timers.begin();
    if (first->first.first > now) return;
    const Task task = std::move(first->second);
    inner.due_times.erase(first->first.second);
    inner.timers.erase(first);
    task();
  }
}

void Loop::OnSignal(int number, Task task) {
  auto& set = this->state->signals.emplace_back(this->state->context, number);
  AwaitSignal(set, task);
}

void Loop::Run() {
  const auto work = boost::asio::make_work_guard(this->state->context);
  this->state->context.run();
}

void Loop::Stop() { this->state->context.stop(); }

}  // namespace toucanwharf::http
