#ifndef TOUCANWHARF_ONCE_SHARD_H_
#define TOUCANWHARF_ONCE_SHARD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "toucanwharf/once/entry.h"
#include "toucanwharf/once/ring_loader.h"
#include "toucanwharf/once/shard_view.h"
#include "toucanwharf/store/conditional_write.h"

namespace toucanwharf::once {

/// Sizes and intervals of a shard's journal. `slots` must be the same on all
/// instances.
struct ShardSettings {
  /// Number of segments. 512 of 64 KB, times 4 shards, retain the keys of 3
  /// calls per second for most of a day and of 200 per second for a quarter of
  /// an hour.
  std::uint64_t slots = 512;
  /// A segment is sealed once its entries are longer. Each commit rewrites the
  /// tail, so longer segments cost more bytes per commit, and shorter ones more
  /// objects.
  std::size_t seal_threshold_bytes = std::size_t{64} * 1024;
  /// Soft limit of the bytes of entries in one commit; well below the
  /// platform's limit.
  std::size_t batch_bytes = std::size_t{256} * 1024;
  /// Minimum time between two commits. Bounds the platform's write rate under
  /// load; a single call after an idle period doesn't wait.
  Duration min_commit_interval{std::chrono::milliseconds(20)};
  /// How long an outcome waits for a claim with which to share a commit.
  Duration max_outcome_delay{std::chrono::milliseconds(50)};
  /// Interval between reads for the outcome of another instance's attempt.
  Duration refresh_interval{std::chrono::milliseconds(100)};
  /// A segment whose newest key is younger isn't overwritten; claims are
  /// refused instead. Longer than any caller keeps retrying.
  std::uint64_t min_retention_millis = 120'000;
  /// How far a key's time may be ahead of the wall clock.
  std::uint64_t clock_tolerance_millis = 60'000;

  friend bool operator==(const ShardSettings&, const ShardSettings&) = default;
};

/// A read or write that a shard requests from the platform's store.
using ShardCall = std::variant<store::ObjectKey, store::Write>;

/// This process's client of one shard of the journal of idempotency keys. It
/// does no I/O; its owner makes the calls that Poll returns.
///
/// A request may run once its key is claimed in the journal by a conditional
/// write to the tail segment. The write takes effect only if this process has
/// seen all earlier claims, so no two attempts hold the same key, even with
/// concurrent writers and arbitrarily long pauses, and without a lease (I4).
/// A claim is never taken over: if the claimant fails, the outcome is unknown,
/// because nobody can determine whether it had sent the request.
///
/// Concurrent claims share one write (group commit).
///
/// Thread safety: none; for one thread.
class Shard {
 public:
  /// \p writer is unique to this process. Precondition: settings.slots >= 2.
  Shard(const ShardSettings& settings, std::uint32_t number,
        std::string writer);

  /// Claims a key. TakeDecisions returns its Decision, at the latest after the
  /// first Poll past the deadline.
  /// Precondition: request.claim is new, or repeats the same request.
  void Claim(ClaimRequest request);
  /// Records the outcome of a granted claim: an Entry of any state but
  /// kClaimed.
  void RecordOutcome(Entry result, TimePoint now);

  /// Returns the call to make now, if any. At most one call is outstanding; the
  /// owner reports each with exactly one OnRead or OnWrite, also on a timeout.
  std::optional<ShardCall> Poll(TimePoint now, std::uint64_t wall_millis);
  void OnRead(const store::ReadAnswer& answer);
  void OnWrite(const store::WriteAnswer& answer);

  /// Returns the decisions made since the last call.
  std::vector<Decision> TakeDecisions();
  /// Returns whether nothing is pending or in progress, so that the process can
  /// stop without losing an outcome.
  bool Idle() const;

 private:
  /// kReadNext reads the slot after a sealed tail; kReadTail reads the tail.
  enum class Phase { kLoad, kReadNext, kReadTail, kReady, kCommit };
  struct PendingClaim {
    ClaimRequest request;
    /// Whether a commit with the claim was sent.
    bool commit_sent = false;
  };
  struct PendingOutcome {
    Entry entry;
    TimePoint due;
  };
  struct Commit {
    store::ConditionalWrite write;
    /// Contains only the entries that the commit adds.
    Segment segment;
  };

  store::ObjectKey SlotKey(std::uint64_t index) const;
  std::uint64_t NextIndex() const;
  bool NeedsNewSegment() const;
  bool HasCapacity(std::uint64_t wall_millis) const;
  std::optional<ShardCall> Send(ShardCall call);
  std::optional<ShardCall> PollReady(TimePoint now, std::uint64_t wall_millis);

  void ExpireClaims(TimePoint now);
  /// Returns the verdict that follows from the journal as read, if any.
  std::optional<Verdict> VerdictFromJournal(const ClaimRequest& request,
                                            std::uint64_t wall_millis) const;
  void DecideFromJournal(std::uint64_t wall_millis);
  /// Returns whether another claim of the same key has no outcome yet.
  bool Blocked(const ClaimRequest& request) const;
  bool AnyBlocked() const;
  std::vector<Entry> GatherClaims();
  void GatherOutcomes(std::vector<Entry>& batch);
  bool OutcomeDue(TimePoint now) const;
  ShardCall StartCommit(std::vector<Entry> batch);

  void OnReadNext(const store::ReadAnswer& answer);
  void OnReadTail(const store::ReadAnswer& answer);
  void FinishCommit();
  void OnConflict(const Segment& written,
                  const std::optional<store::Object>& conflicting);
  void SelectPhase();
  void Reload();

  ShardSettings settings;
  std::uint32_t number;
  std::string writer;
  std::uint64_t writes = 0;
  Phase phase = Phase::kLoad;
  bool outstanding = false;
  RingLoader loader;
  ShardView view;
  store::Revision next_slot_version;
  std::uint64_t next_slot_newest_millis = 0;
  TimePoint next_commit;
  TimePoint next_refresh;
  std::optional<Commit> commit;
  std::vector<PendingClaim> pending;
  std::vector<PendingOutcome> outcomes;
  std::vector<Decision> decisions;
};

}  // namespace toucanwharf::once

#endif  // TOUCANWHARF_ONCE_SHARD_H_
