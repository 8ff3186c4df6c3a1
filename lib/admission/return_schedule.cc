#include "toucanwharf/admission/return_schedule.h"

#include <algorithm>
#include <cmath>

namespace toucanwharf::admission {
namespace {

std::int64_t SlotAt(TimePoint time) {
  return time.since_start / ReturnSchedule::kSlot;
}

TimePoint BeginOf(std::int64_t slot) {
  return TimePoint{slot * ReturnSchedule::kSlot};
}

TimePoint DrawBetween(TimePoint begin, TimePoint end, Random& random) {
  const auto width = static_cast<double>((end - begin).count());
  return begin + Duration(static_cast<std::int64_t>(width * random.Unit()));
}

/// Returns what of \p balance a later slot can use: a shortage counts whole. Of
/// a surplus only the fraction does, since new requests take the rest.
double CarriedOver(double balance) {
  return balance < 1 ? balance : balance - std::floor(balance);
}

}  // namespace

std::optional<Duration> ReturnSchedule::Schedule(TimePoint now, int rank,
                                                 double requests_per_second,
                                                 std::size_t waiting,
                                                 Duration caller_time_left,
                                                 Random& random) {
  const bool known =
      std::isfinite(requests_per_second) && requests_per_second > 0;
  if (!known) return std::nullopt;
  this->Advance(now);
  const int valid_rank = std::clamp(rank, 0, kRanks - 1);
  const double rate =
      requests_per_second *
      std::pow(1 - kReserve, this->CountMoreUrgent(now, valid_rank));
  const TimePoint latest =
      now +
      std::clamp(caller_time_left / kMaxPartOfTimeLeft, kMinDelay, kMaxDelay);
  const auto slots = static_cast<std::int64_t>(kSlots);
  const std::int64_t last = std::min(SlotAt(latest), this->current + slots - 1);
  const std::int64_t slot = this->FindSlot(now, rate, waiting, last);
  ++this->booked[static_cast<std::size_t>(slot) % kSlots];
  this->last_booked[static_cast<std::size_t>(valid_rank)] = now;
  return DrawBetween(std::max(BeginOf(slot), now + kMinDelay),
                     std::min(BeginOf(slot + 1), latest), random) -
         now;
}

void ReturnSchedule::Advance(TimePoint now) {
  const std::int64_t next = SlotAt(now);
  if (next - this->current >= static_cast<std::int64_t>(kSlots)) {
    this->booked.fill(0);
    this->current = next;
  }
  for (; this->current < next; ++this->current) {
    this->booked[static_cast<std::size_t>(this->current) % kSlots] = 0;
  }
}

int ReturnSchedule::CountMoreUrgent(TimePoint now, int rank) const {
  const auto begin = this->last_booked.begin();
  const auto seen =
      std::count_if(begin, begin + rank, [now](const auto& booked_at) {
        return booked_at && now - *booked_at < kMaxDelay;
      });
  return std::max(static_cast<int>(seen), std::min(rank, 1));
}

std::int64_t ReturnSchedule::FindSlot(TimePoint now, double requests_per_second,
                                      std::size_t waiting,
                                      std::int64_t last) const {
  const double per_slot =
      requests_per_second * std::chrono::duration<double>(kSlot).count();
  // The callers of the current slot have retried in part.
  const double rest =
      std::chrono::duration<double>(BeginOf(this->current + 1) - now) / kSlot;
  double balance = rest * (per_slot - this->BookedIn(this->current)) -
                   static_cast<double>(waiting);
  for (std::int64_t slot = this->current + 1; slot < last; ++slot) {
    balance = CarriedOver(balance) + per_slot - this->BookedIn(slot);
    if (balance >= 1) return slot;
  }
  return last;
}

}  // namespace toucanwharf::admission
