#ifndef TOUCANWHARF_PLATFORM_IDEMPOTENCY_JOURNAL_H_
#define TOUCANWHARF_PLATFORM_IDEMPOTENCY_JOURNAL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "toucanwharf/once/shard.h"
#include "toucanwharf/platform/client.h"

namespace toucanwharf::platform {

/// A non-idempotent request that carries an idempotency key.
struct IdempotentRequest {
  std::string customer;
  std::string service;
  /// The caller's idempotency key, a UUID version 7.
  std::string idempotency_key;
  /// Method, target and body, which must be the same in a repeat.
  std::string content;
  /// Maximum wait for a verdict.
  Duration verdict_timeout{std::chrono::seconds(3)};

  friend bool operator==(const IdempotentRequest&,
                         const IdempotentRequest&) = default;
};

/// The journal of idempotency keys in the platform's store (I4). Of all claims
/// for a key, through any instance, at most one is granted.
/// Thread safety: none; for the loop's thread.
class IdempotencyJournal {
 public:
  using Done = std::function<void(once::Verdict)>;

  /// \p incarnation is unique to this process. Precondition: the references
  /// outlive the journal.
  IdempotencyJournal(transport::EventLoop& loop, Client& client,
                     const std::string& incarnation);

  /// Claims the request's key; \p done receives the verdict asynchronously.
  /// Returns the claim's id, for RecordOutcome.
  std::string Claim(const IdempotentRequest& request, Done done);

  /// Records the outcome of a granted claim. Precondition: called exactly once
  /// for each claim that was granted; \p state isn't kClaimed.
  void RecordOutcome(const IdempotentRequest& request, const std::string& claim,
                     once::KeyState state, once::Outcome outcome);

  /// Returns whether no claim is pending and every outcome is recorded.
  bool Idle() const;

 private:
  once::Shard& ShardOf(const std::string& key);
  void PollShards();
  void PollShard(once::Shard& shard);
  void PerformCall(once::Shard& shard, const once::ShardCall& call);
  void DeliverDecisions(once::Shard& shard);

  transport::EventLoop& loop;
  Client& client;
  std::vector<once::Shard> shards;
  std::map<std::string, Done> pending;
  bool timer_set = false;
};

}  // namespace toucanwharf::platform

#endif  // TOUCANWHARF_PLATFORM_IDEMPOTENCY_JOURNAL_H_
