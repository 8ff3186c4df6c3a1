#ifndef TOUCANWHARF_STANDINS_ENGINE_SLOTS_H_
#define TOUCANWHARF_STANDINS_ENGINE_SLOTS_H_

#include <condition_variable>
#include <cstdint>
#include <limits>
#include <mutex>
#include <set>
#include <utility>

namespace toucanwharf::standins {

/// A counting semaphore with a bounded queue, ordered by priority and then by
/// arrival.
/// Thread safety: safe; all methods may be called concurrently.
class Slots {
 public:
  /// Makes \p count slots; at most \p queue_limit callers wait.
  Slots(std::uint32_t count, std::uint32_t queue_limit)
      : free_count(count), max_waiting(queue_limit) {}

  /// Acquires a slot, blocking until one is free; returns false immediately if
  /// none is free and the queue is full.
  bool Acquire(int priority) {
    std::unique_lock lock(this->mutex);
    if (this->free_count == 0 && this->waiting.size() >= this->max_waiting) {
      return false;
    }
    const auto ticket =
        this->waiting.insert(std::pair(-priority, this->next_ticket++)).first;
    this->changed.wait(lock, [&] {
      return this->free_count > 0 && ticket == this->waiting.begin();
    });
    this->waiting.erase(ticket);
    --this->free_count;
    ++this->used_count;
    this->changed.notify_all();
    return true;
  }

  /// Releases a slot. Precondition: a call of Acquire returned true.
  void Release() {
    const std::lock_guard lock(this->mutex);
    ++this->free_count;
    --this->used_count;
    this->changed.notify_all();
  }

  /// Returns the number of slots in use.
  std::uint32_t UsedCount() {
    const std::lock_guard lock(this->mutex);
    return this->used_count;
  }

  static constexpr std::uint32_t kNoLimit =
      std::numeric_limits<std::uint32_t>::max();

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::set<std::pair<int, std::uint64_t>> waiting;
  std::uint64_t next_ticket = 0;
  std::uint32_t free_count;
  std::uint32_t used_count = 0;
  std::uint32_t max_waiting;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_ENGINE_SLOTS_H_
