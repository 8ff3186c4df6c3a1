#include "toucanwharf/timeline/buffer.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace toucanwharf::timeline {

Buffer::Buffer(std::string name, std::size_t size)
    : instance(std::move(name)), capacity(size) {
  assert(size > 0 && "a buffer holds at least one event");
}

void Buffer::Add(std::uint64_t wall_millis, EventDetails details) {
  if (details.reason.size() > kMaxReasonBytes) {
    details.reason.resize(kMaxReasonBytes);
  }
  this->last = this->clock.Tick(wall_millis);
  if (this->events.size() == this->capacity) {
    this->events.pop_front();
    ++this->dropped;
  }
  this->events.push_back(
      Event{this->next_sequence, this->last, wall_millis, std::move(details)});
  ++this->next_sequence;
}

void Buffer::Observe(Stamp remote, std::uint64_t wall_millis) {
  this->clock.Observe(remote, wall_millis);
}

Page Buffer::After(std::uint64_t sequence, std::size_t limit) const {
  const auto first =
      std::upper_bound(this->events.begin(), this->events.end(), sequence,
                       [](std::uint64_t bound, const Event& event) {
                         return bound < event.sequence;
                       });
  const auto available = static_cast<std::size_t>(this->events.end() - first);
  const auto count = static_cast<std::ptrdiff_t>(std::min(available, limit));
  return Page{this->instance, this->dropped,
              std::vector<Event>(first, first + count)};
}

}  // namespace toucanwharf::timeline
