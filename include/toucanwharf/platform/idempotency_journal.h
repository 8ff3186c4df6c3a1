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

/// A non-idempotent request, as the journal knows it.
struct IdempotentRequest {
  std::string customer;
  std::string service;
  /// The caller's idempotency key, a UUID version 7.
  std::string idempotency_key;
  /// What must be the same in a repeat: method, target and body.
  std::string content;
  /// The caller gets a verdict by then.
  Duration verdict_timeout{std::chrono::seconds(3)};

  friend bool operator==(const IdempotentRequest&,
                         const IdempotentRequest&) = default;
};

/// The journal of idempotency keys over the platform (I4). Claims made through
/// any instance exclude each other.
/// Thread safety: none; for the loop's thread.
class IdempotencyJournal {
 public:
  using Done = std::function<void(once::Verdict)>;

  /// \p incarnation is unique to this process. Precondition: the references
  /// outlive the journal.
  IdempotencyJournal(transport::EventLoop& loop, Client& client,
                     const std::string& incarnation);

  /// Asks for the request's key; \p done gets the verdict, later. Returns the
  /// claim's id, for Conclude.
  std::string Claim(const IdempotentRequest& request, Done done);

  /// Records how a granted claim ended. Precondition: called exactly once for
  /// each claim that was granted; \p state isn't kClaimed.
  void Conclude(const IdempotentRequest& request, const std::string& claim,
                once::KeyState state, once::Outcome outcome);

  /// Returns whether no claim waits and every outcome is recorded.
  bool Idle() const;

 private:
  once::Shard& ShardOf(const std::string& key);
  void Pump();
  void PumpShard(once::Shard& shard);
  void Carry(once::Shard& shard, const once::ShardCall& call);
  void Deliver(once::Shard& shard);

  transport::EventLoop& loop;
  Client& client;
  std::vector<once::Shard> shards;
  std::map<std::string, Done> waiting;
  bool timer_set = false;
};

}  // namespace toucanwharf::platform

#endif  // TOUCANWHARF_PLATFORM_IDEMPOTENCY_JOURNAL_H_
