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

/// Timing and identity of a lease on a role.
struct LeaseSettings {
  /// Name of the object in the collection `leases`.
  std::string role;
  /// Id of this process; a restarted process has another one.
  std::string holder;
  /// How long a renewal lasts. Short enough that a takeover fits into the 14 s
  /// that a change of configuration may take in all.
  Duration term{std::chrono::seconds(6)};
  /// Subtracted from the holder's own term, for clocks that run at different
  /// speeds and for the time between the check and the effect.
  Duration margin{std::chrono::seconds(1)};
  /// Time between renewals: two may fail before the term ends.
  Duration renewal{std::chrono::seconds(2)};
  /// Name of the place where this process runs, where each process starts only
  /// after the one before it has ended; empty if there is no such place.
  std::string node{};

  friend bool operator==(const LeaseSettings&, const LeaseSettings&) = default;
};

/// The lease object's value.
struct LeaseValue {
  /// Empty after the holder released it.
  std::string holder;
  /// Fencing number: rises by one with each takeover; part of every order.
  std::uint64_t fence = 0;
  /// The holder's LeaseSettings::node.
  std::string node{};

  friend bool operator==(const LeaseValue&, const LeaseValue&) = default;
};

/// A call to the platform that the lease requests.
using LeaseCall = std::variant<store::ObjectKey, store::Write>;

/// One process's view of a role that at most one process holds at a time.
///
/// Failures guarded against:
///  - The holder is paused past its term and resumes assuming that it still
///    holds the role. Its own validity counts from before the renewal was sent,
///    on a clock that advances during a pause, less a margin; MayAct is checked
///    right before each send. What was sent before the pause is fenced by the
///    number, or by the conditional write on the object that it changes.
///  - A challenger takes over too early. It waits a full term on its own clock
///    since the last change that it saw, which is later than the change itself;
///    the holder's validity began before the change. Neither wall clocks nor
///    the clocks of two processes are compared.
///  - Two challengers take over at the same time: the takeover is a conditional
///    write.
///  - All processes end and start anew, and nobody holds the role for a whole
///    term. A process that finds one of its own node as the holder knows that
///    it has ended, and takes over at once; but not once the store has returned
///    from an older copy, which may show a holder that another one has
///    followed.
///  - The store comes back from an older copy and has lost a takeover or a
///    renewal. Its object proves nothing then: it may be missing, or name a
///    former holder. Only who holds the role by its own term goes on; all
///    others, a former holder too, wait a full term first, which is longer than
///    the lost one can last. Fencing numbers begin anew above all earlier ones.
///  - A write reaches the store after its return, and its condition happens to
///    fit a later object: the answer's epoch tells, and the role isn't held.
///
/// Thread safety: none; for one thread.
class Lease {
 public:
  /// Precondition: margin < term, renewal < term - margin. \p random_word makes
  /// writer tokens unique to this process.
  Lease(LeaseSettings settings, std::uint64_t random_word);

  /// Returns the call to make now, if any. At most one call is outstanding;
  /// each is answered by exactly one OnRead or OnWrite, also on a timeout.
  std::optional<LeaseCall> Poll(TimePoint now);
  /// Handles the answer of a read.
  void OnRead(const store::ReadAnswer& answer, TimePoint now);
  /// Handles the answer of a write.
  void OnWrite(const store::WriteAnswer& answer, TimePoint now);
  /// Records that the store is in \p epoch, as any of its answers tells.
  void OnEpoch(std::uint64_t epoch, TimePoint now);

  /// Returns whether this process holds the role at \p now. To be checked right
  /// before each act.
  bool MayAct(TimePoint now) const { return now < this->valid_until; }
  /// Returns the end of the term held, or a time in the past.
  TimePoint ValidUntil() const { return this->valid_until; }
  /// Returns the fencing number of the last term held.
  std::uint64_t Fence() const { return this->held_fence; }
  /// Returns the last observed holder of the role; empty for none.
  const std::string& ObservedHolder() const { return this->observed.holder; }

  /// Releases the role: the term ends immediately, and a write announces it to
  /// the challengers.
  void Release();
  /// Competes for the role again after Release.
  void Compete() { this->released = false; }

 private:
  struct Attempt {
    store::ConditionalWrite write;
    LeaseValue value;
    TimePoint sent_at;
    /// Epoch of the store that the write was decided in.
    std::uint64_t epoch = 0;
  };

  std::optional<store::Write> NextWrite(TimePoint now) const;
  store::Write MakeWrite(const LeaseValue& value) const;
  void Observe(const store::Object& object, TimePoint now);
  /// Handles that there is no object in the store's \p epoch.
  void ObserveMissing(std::uint64_t answer_epoch);
  void SettleAttempt(TimePoint now);
  void SettleApplied(const Attempt& completed, TimePoint now);
  std::uint64_t NextFence() const;
  bool HoldsObject() const;
  /// Returns whether the observed holder is an earlier process of this node.
  bool HolderHasEnded() const;

  LeaseSettings settings;
  std::uint64_t random_word;
  std::uint64_t writes = 0;
  bool outstanding = false;
  bool object_was_read = false;
  bool released = false;
  LeaseValue observed;
  store::Revision observed_version;
  TimePoint observed_at;
  /// Epoch of the store's newest answer; nothing before the first.
  std::optional<std::uint64_t> epoch;
  /// Before this the role isn't taken over, nor resumed after its term.
  TimePoint takeover_at;
  TimePoint next_read_at;
  TimePoint valid_until;
  std::uint64_t held_fence = 0;
  std::uint64_t held_epoch = 0;
  std::optional<Attempt> attempt;
};

}  // namespace toucanwharf::control

#endif  // TOUCANWHARF_CONTROL_LEASE_H_
