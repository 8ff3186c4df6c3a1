#ifndef TOUCANWHARF_CONTROL_LEASE_H_
#define TOUCANWHARF_CONTROL_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "toucanwharf/store/conditional_write.h"
#include "toucanwharf/store/object.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::control {

/// How a role is taken and kept.
struct LeaseSettings {
  /// Object in the collection `leases`.
  std::string role;
  /// Id of this process; a restarted process has another one.
  std::string holder;
  /// How long a renewal lasts. Short enough that a role is taken over within
  /// the 14 s that a change of configuration may take in all.
  Duration term{std::chrono::seconds(6)};
  /// Taken off the holder's own term, for clocks that run at different speeds
  /// and for the time between the check and the effect.
  Duration margin{std::chrono::seconds(1)};
  /// Time between renewals: two may fail before the term is over.
  Duration renewal{std::chrono::seconds(2)};

  friend bool operator==(const LeaseSettings&, const LeaseSettings&) = default;
};

/// The lease object's value.
struct LeaseValue {
  /// Empty when the holder gave it back.
  std::string holder;
  /// Rises by one with each takeover; carried by every order.
  std::uint64_t fence = 0;

  friend bool operator==(const LeaseValue&, const LeaseValue&) = default;
};

/// A call on the platform that the lease wants made.
using LeaseCall = std::variant<store::ObjectKey, store::Write>;

/// One process's view of a role that at most one process holds at a time.
///
/// Failures guarded against:
///  - the holder is paused past its term and wakes believing it still holds
///    the role. Its own validity is counted from before the renewal was sent,
///    on a clock that goes on during a pause, less a margin; MayAct is asked
///    right before each send. What was sent before the pause is fenced by the
///    number, or by the conditional write on the object that it changes.
///  - a challenger takes over too early. It waits a full term on its own clock
///    since the last change that it saw; that is later than the change itself,
///    and the holder's validity began before the change. No wall clocks and no
///    two processes' clocks are compared.
///  - two challengers at once: the takeover is a conditional write.
///
/// Thread safety: none; for one thread.
class Lease {
 public:
  /// Precondition: margin < term, renewal < term - margin. \p random_word
  /// makes writer tokens unique to this process.
  Lease(LeaseSettings settings, std::uint64_t random_word);

  /// Returns the call to make now, if any. At most one call is outstanding;
  /// each is answered by exactly one OnRead or OnWrite, also on a timeout.
  std::optional<LeaseCall> Poll(TimePoint now);
  /// Takes the answer of a read.
  void OnRead(const store::ReadAnswer& answer, TimePoint now);
  /// Takes the answer of a write.
  void OnWrite(const store::WriteAnswer& answer, TimePoint now);

  /// Returns whether this process holds the role at \p now. Ask it right
  /// before each act.
  bool MayAct(TimePoint now) const { return now < this->valid_until; }
  /// Returns the end of the term held, or a time in the past.
  TimePoint ValidUntil() const { return this->valid_until; }
  /// Returns the fencing number of the last term held.
  std::uint64_t Fence() const { return this->held_fence; }
  /// Returns who holds the role as far as was seen; empty for nobody.
  const std::string& SeenHolder() const { return this->seen.holder; }

  /// Gives the role back: it ends at once, and a write tells the challengers.
  void Release();

 private:
  struct Attempt {
    store::ConditionalWrite write;
    LeaseValue value;
    TimePoint sent_at;
  };

  std::optional<store::Write> Wanted(TimePoint now) const;
  store::Write MakeWrite(const LeaseValue& value) const;
  void See(const store::Object& object, TimePoint now);
  void SettleAttempt(TimePoint now);
  bool HoldsObject() const;

  LeaseSettings settings;
  std::uint64_t random_word;
  std::uint64_t writes = 0;
  bool outstanding = false;
  bool looked = false;
  bool released = false;
  LeaseValue seen;
  std::uint64_t seen_version = 0;
  TimePoint seen_at;
  TimePoint next_look;
  TimePoint valid_until;
  std::uint64_t held_fence = 0;
  std::optional<Attempt> attempt;
};

}  // namespace toucanwharf::control

#endif  // TOUCANWHARF_CONTROL_LEASE_H_
