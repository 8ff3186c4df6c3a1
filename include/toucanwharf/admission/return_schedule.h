#ifndef TOUCANWHARF_ADMISSION_RETURN_SCHEDULE_H_
#define TOUCANWHARF_ADMISSION_RETURN_SCHEDULE_H_

#include <array>
#include <cstdint>
#include <optional>

#include "toucanwharf/admission/claim.h"
#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::admission {

/// Decides when callers that are refused for lack of capacity should retry, so
/// that no more of them retry in a slot of time than capacity comes free in it.
///
/// Load: hundreds of callers are refused within a fraction of a second. With
/// one delay for all they retry together, and most are refused again.
/// Thread safety: none; for one thread.
class ReturnSchedule {
 public:
  static constexpr Duration kSlot = std::chrono::milliseconds(100);
  static constexpr std::size_t kSlots = 30;
  /// A shorter pause frees no capacity and costs the caller a refusal.
  static constexpr Duration kMinDelay = std::chrono::milliseconds(100);
  static constexpr Duration kMaxDelay = kSlot * kSlots;
  /// Callers ignore a delay of more than this part of the time they have left.
  static constexpr int kMaxPartOfTimeLeft = 3;
  /// Part of the capacity that each rank leaves to more urgent ones.
  static constexpr double kReserve = 0.1;

  /// Returns after what delay a caller of \p rank that is refused at \p now
  /// should retry, and books a slot for it: the earliest with free capacity, or
  /// the last allowed one. Returns nothing if \p requests_per_second, the rate
  /// at which capacity comes free, is unknown: 0, negative or not finite.
  /// \p waiting is the number of queued requests that get capacity earlier.
  /// The delay is at least kMinDelay, also if \p caller_time_left allows less.
  /// Precondition: \p now isn't before that of an earlier call.
  std::optional<Duration> Schedule(TimePoint now, int rank,
                                   double requests_per_second,
                                   std::size_t waiting,
                                   Duration caller_time_left, Random& random);

 private:
  /// Forgets the slots that are over.
  void Advance(TimePoint now);
  /// Returns how many ranks before \p rank have booked within kMaxDelay, and at
  /// least one unless \p rank is the first.
  int CountMoreUrgent(TimePoint now, int rank) const;
  /// Returns the first slot up to \p last with free capacity, else \p last.
  std::int64_t FindSlot(TimePoint now, double requests_per_second,
                        std::size_t waiting, std::int64_t last) const;
  std::uint32_t BookedIn(std::int64_t slot) const {
    return this->booked[static_cast<std::size_t>(slot) % kSlots];
  }

  /// Retries by slot. A slot is numbered by its start since TimePoint{}, in
  /// units of kSlot; it is kept at that number modulo kSlots.
  std::array<std::uint32_t, kSlots> booked{};
  /// The slot of the last call.
  std::int64_t current = 0;
  std::array<std::optional<TimePoint>, kRanks> last_booked;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_RETURN_SCHEDULE_H_
