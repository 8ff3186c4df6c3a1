#include "toucanwharf/transport/event_loop.h"

#include <curl/curl.h>

#include <algorithm>
#include <cassert>
#include <chrono>

namespace toucanwharf::transport {
namespace {

constexpr int kMaxWaitMillis = 1000;
constexpr long kMaxIdleConnections = 4096;  // NOLINT(google-runtime-int)

}  // namespace

EventLoop::EventLoop() : multi(curl_multi_init()) {
  assert(this->multi != nullptr && "curl_multi_init must return a handle");
  // Idle connections kept for reuse. Above this number the oldest is closed,
  // which only costs a new connection later.
  curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
}

EventLoop::~EventLoop() { curl_multi_cleanup(this->multi); }

void EventLoop::Post(Task task) {
  {
    const std::lock_guard lock(this->mutex);
    this->posted.push_back(std::move(task));
  }
  curl_multi_wakeup(this->multi);
}

TimerId EventLoop::After(Duration delay, Task task) {
  const TimerId id = ++this->last_timer;
  const TimePoint due = this->Now() + delay;
  this->timers.emplace(std::pair(due, id), std::move(task));
  this->due_times.emplace(id, due);
  return id;
}

void EventLoop::CancelTimer(TimerId id) {
  const auto due = this->due_times.find(id);
  if (due == this->due_times.end()) return;
  this->timers.erase(std::pair(due->second, id));
  this->due_times.erase(due);
}

void EventLoop::Run() {
  while (!this->stopping) {
    curl_multi_poll(this->multi, nullptr, 0, this->WaitMillis(), nullptr);
    int running = 0;
    curl_multi_perform(this->multi, &running);
    if (this->transfers_hook) this->transfers_hook();
    this->RunPosted();
    this->RunTimers();
  }
}

void EventLoop::Stop() {
  this->stopping = true;
  curl_multi_wakeup(this->multi);
}

void EventLoop::RunPosted() {
  std::vector<Task> batch;
  {
    const std::lock_guard lock(this->mutex);
    batch.swap(this->posted);
  }
  for (const Task& task : batch) task();
}

void EventLoop::RunTimers() {
  const TimePoint now = this->Now();
  while (!this->timers.empty()) {
    const auto first = this->timers.begin();
    if (first->first.first > now) return;
    const Task task = std::move(first->second);
    this->due_times.erase(first->first.second);
    this->timers.erase(first);
    task();
  }
}

int EventLoop::WaitMillis() const {
  if (this->timers.empty()) return kMaxWaitMillis;
  const Duration remaining = this->timers.begin()->first.first - this->Now();
  if (remaining <= Duration(0)) return 0;
  const auto millis =
      std::chrono::ceil<std::chrono::milliseconds>(remaining).count();
  return static_cast<int>(std::min<std::int64_t>(millis, kMaxWaitMillis));
}

}  // namespace toucanwharf::transport
