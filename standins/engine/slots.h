#ifndef TOUCANWHARF_STANDINS_ENGINE_SLOTS_H_
#define TOUCANWHARF_STANDINS_ENGINE_SLOTS_H_

#include <condition_variable>
#include <cstdint>
#include <limits>
#include <mutex>
#include <set>
#include <utility>

namespace toucanwharf::standins {

/// A number of places, and a queue before them by priority, then by arrival.
/// Thread safety: all methods may be called at once from several threads.
class Slots {
 public:
  /// Makes \p places places; at most \p queue_limit callers wait.
  Slots(std::uint32_t places, std::uint32_t queue_limit)
      : free(places), most_waiting(queue_limit) {}

  /// Takes a place, waiting for one; false at once if the queue is full.
  bool Enter(int priority) {
    std::unique_lock lock(this->mutex);
    if (this->free == 0 && this->waiting.size() >= this->most_waiting) {
      return false;
    }
    const auto mine =
        this->waiting.insert(std::pair(-priority, this->next_ticket++)).first;
    this->changed.wait(
        lock, [&] { return this->free > 0 && mine == this->waiting.begin(); });
    this->waiting.erase(mine);
    --this->free;
    ++this->used;
    this->changed.notify_all();
    return true;
  }

  /// Gives a place back. Precondition: Enter returned true before.
  void Leave() {
    const std::lock_guard lock(this->mutex);
    ++this->free;
    --this->used;
    this->changed.notify_all();
  }

  /// Returns the number of places taken.
  std::uint32_t Used() {
    const std::lock_guard lock(this->mutex);
    return this->used;
  }

  static constexpr std::uint32_t kNoLimit =
      std::numeric_limits<std::uint32_t>::max();

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::set<std::pair<int, std::uint64_t>> waiting;
  std::uint64_t next_ticket = 0;
  std::uint32_t free;
  std::uint32_t used = 0;
  std::uint32_t most_waiting;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_ENGINE_SLOTS_H_
