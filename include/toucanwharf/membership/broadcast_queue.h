#ifndef TOUCANWHARF_MEMBERSHIP_BROADCAST_QUEUE_H_
#define TOUCANWHARF_MEMBERSHIP_BROADCAST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace toucanwharf::membership {

/// Updates that still have to be sent, the least often sent first and of those
/// the newest, so that a burst delays old updates and not the latest.
/// Thread safety: none; for one thread.
template <typename Key>
class BroadcastQueue {
 public:
  /// Queues an update of \p key that was not sent yet. Replaces one that was
  /// queued for it before.
  void Add(const Key& key) {
    this->Remove(key);
    const Priority priority{0, --this->newest};
    this->order.emplace(priority, key);
    this->priorities.emplace(key, priority);
  }

  /// Removes \p key from the queue.
  void Remove(const Key& key) {
    const auto found = this->priorities.find(key);
    if (found == this->priorities.end()) return;
    this->order.erase(found->second);
    this->priorities.erase(found);
  }

  /// Returns whether no update is queued.
  bool Empty() const { return this->order.empty(); }

  /// Offers keys in order to \p send, which returns whether it sent the key.
  /// Counts one transmission for each key sent; a key leaves the queue after
  /// \p max_transmissions.
  template <typename Send>
  void Transmit(std::uint32_t max_transmissions, Send send) {
    std::vector<std::pair<Priority, Key>> sent;
    for (const auto& [priority, key] : this->order) {
      if (send(key)) sent.emplace_back(priority, key);
    }
    for (const auto& [priority, key] : sent) {
      this->Remove(key);
      if (priority.first + 1 >= max_transmissions) continue;
      const Priority next{priority.first + 1, priority.second};
      this->order.emplace(next, key);
      this->priorities.emplace(key, next);
    }
  }

 private:
  /// Transmissions so far, then minus the age.
  using Priority = std::pair<std::uint32_t, std::int64_t>;

  std::int64_t newest = 0;
  std::map<Priority, Key> order;
  std::map<Key, Priority> priorities;
};

}  // namespace toucanwharf::membership

#endif  // TOUCANWHARF_MEMBERSHIP_BROADCAST_QUEUE_H_
