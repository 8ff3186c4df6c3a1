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

/// Sizes and paces of a shard's journal. All instances have the same `slots`.
struct ShardSettings {
  /// Segments kept. 512 of 64 KB, times 4 shards, keep the keys of 3 calls a
  /// second for the better part of a day and of 200 for a quarter of an hour.
  std::uint64_t slots = 512;
  /// A segment is sealed once its entries are longer. Each commit writes the
  /// tail anew, so a longer segment costs more bytes per commit, and a shorter
  /// one more objects.
  std::size_t seal_bytes = std::size_t{64} * 1024;
  /// Most bytes of entries in one commit, well under the platform's limit.
  std::size_t batch_bytes = std::size_t{256} * 1024;
  /// Least time between two commits: bounds the platform's writes under load;
  /// a single call after a quiet time doesn't wait.
  Duration commit_gap{std::chrono::milliseconds(20)};
  /// How long an outcome waits for a claim to share its commit with.
  Duration outcome_delay{std::chrono::milliseconds(50)};
  /// Time between looks for the outcome of another instance's attempt.
  Duration refresh{std::chrono::milliseconds(100)};
  /// A segment whose newest key is younger isn't overwritten; claims are
  /// refused instead. Longer than any caller goes on repeating.
  std::uint64_t least_retention_millis = 120'000;
  /// How far a key's time may lie ahead of the wall clock.
  std::uint64_t clock_tolerance_millis = 60'000;

  friend bool operator==(const ShardSettings&, const ShardSettings&) = default;
};

/// A call on the platform that a shard wants made.
using ShardCall = std::variant<store::ObjectKey, store::Write>;

/// One process's part in one shard of the journal of idempotency keys.
///
/// A key may run once it is claimed in the journal by a conditional write on
/// the tail segment. The write takes effect only if this process had seen
/// every claim before it, so no two attempts hold a key, whoever else writes
/// the shard at the same time, however long anybody was paused, and without a
/// lease (I4). A claim is never taken over: after a claimant's death the
/// outcome is unknown, for nobody can tell whether it had sent.
///
/// Concurrent claims share one write (group commit).
///
/// Thread safety: none; for one thread.
class Shard {
 public:
  /// \p writer is unique to this process. Precondition: settings.slots >= 2.
  Shard(const ShardSettings& settings, std::uint32_t number,
        std::string writer);

  /// Asks for a key. Its Decision comes from TakeDecisions, at the latest when
  /// Poll runs after the deadline.
  /// Precondition: request.claim is new, or repeats the same request.
  void Claim(ClaimRequest request);
  /// Records how a granted claim ended: an Entry of any state but kClaimed.
  void RecordOutcome(Entry conclusion, TimePoint now);

  /// Returns the call to make now, if any. At most one is outstanding; each is
  /// answered by exactly one OnRead or OnWrite, also on a timeout.
  std::optional<ShardCall> Poll(TimePoint now, std::uint64_t wall_millis);
  void OnRead(const store::ReadAnswer& answer);
  void OnWrite(const store::WriteAnswer& answer);

  /// Returns what was decided since the last call.
  std::vector<Decision> TakeDecisions();
  /// Returns whether nothing waits and nothing is under way: a process may
  /// stop without losing an outcome.
  bool Idle() const;

 private:
  /// kFollow reads the slot after a sealed tail, kRefresh the tail itself.
  enum class Phase { kLoad, kFollow, kRefresh, kReady, kCommit };
  struct Pending {
    ClaimRequest request;
    /// Whether a commit with the claim was ever sent.
    bool tried = false;
  };
  struct Conclusion {
    Entry entry;
    TimePoint due;
  };
  struct Commit {
    store::ConditionalWrite write;
    /// With the entries that the commit adds.
    Segment segment;
  };

  store::ObjectKey SlotKey(std::uint64_t index) const;
  std::uint64_t NextIndex() const;
  bool NeedsNewSegment() const;
  bool HasRoom(std::uint64_t wall_millis) const;
  std::optional<ShardCall> Send(ShardCall call);
  std::optional<ShardCall> PollReady(TimePoint now, std::uint64_t wall_millis);

  void ExpireClaims(TimePoint now);
  /// Returns the verdict that the journal already gives, if any.
  std::optional<Verdict> Known(const ClaimRequest& request,
                               std::uint64_t wall_millis) const;
  void DecideKnown(std::uint64_t wall_millis);
  bool Waits(const ClaimRequest& request) const;
  bool AnyWaits() const;
  std::vector<Entry> GatherClaims();
  void GatherConclusions(std::vector<Entry>& batch);
  bool ConclusionDue(TimePoint now) const;
  ShardCall StartCommit(std::vector<Entry> batch);

  void OnFollow(const store::ReadAnswer& answer);
  void OnRefresh(const store::ReadAnswer& answer);
  void SettleCommit();
  void OnObstacle(const Segment& written,
                  const std::optional<store::Object>& obstacle);
  void TailChanged();
  void Reload();

  ShardSettings settings;
  std::uint32_t number;
  std::string writer;
  std::uint64_t writes = 0;
  Phase phase = Phase::kLoad;
  bool outstanding = false;
  RingLoader loader;
  ShardView view;
  std::uint64_t spare_version = 0;
  std::uint64_t spare_newest_millis = 0;
  TimePoint next_commit;
  TimePoint next_refresh;
  std::optional<Commit> commit;
  std::vector<Pending> pending;
  std::vector<Conclusion> conclusions;
  std::vector<Decision> decisions;
};

}  // namespace toucanwharf::once

#endif  // TOUCANWHARF_ONCE_SHARD_H_
