#ifndef TOUCANWHARF_MEMBERSHIP_BROADCAST_QUEUE_H_
#define TOUCANWHARF_MEMBERSHIP_BROADCAST_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace toucanwharf::membership {

/// News that still has to be told, the least told first and of those the
/// newest, so that a burst delays old news and not the latest.
/// Thread safety: none; for one thread.
template <typename Key>
class BroadcastQueue {
 public:
  /// Queues \p key as news, told to nobody yet. What was queued for it before
  /// is replaced.
  void Add(const Key& key) {
    this->Remove(key);
    const Place place{0, --this->newest};
    this->order.emplace(place, key);
    this->places.emplace(key, place);
  }

  /// Takes \p key from the queue.
  void Remove(const Key& key) {
    const auto found = this->places.find(key);
    if (found == this->places.end()) return;
    this->order.erase(found->second);
    this->places.erase(found);
  }

  /// Returns whether nothing is left to tell.
  bool Empty() const { return this->order.empty(); }

  /// Offers keys in order to \p take, which returns whether there was room
  /// for it. Those taken count one telling more and leave after \p most.
  template <typename Take>
  void Tell(std::uint32_t most, Take take) {
    std::vector<std::pair<Place, Key>> told;
    for (const auto& [place, key] : this->order) {
      if (take(key)) told.emplace_back(place, key);
    }
    for (const auto& [place, key] : told) {
      this->Remove(key);
      if (place.first + 1 >= most) continue;
      const Place next{place.first + 1, place.second};
      this->order.emplace(next, key);
      this->places.emplace(key, next);
    }
  }

 private:
  /// Times told, then minus the age.
  using Place = std::pair<std::uint32_t, std::int64_t>;

  std::int64_t newest = 0;
  std::map<Place, Key> order;
  std::map<Key, Place> places;
};

}  // namespace toucanwharf::membership

#endif  // TOUCANWHARF_MEMBERSHIP_BROADCAST_QUEUE_H_
