#include "toucanwharf/platform/idempotency_journal.h"

#include <chrono>
#include <utility>

#include "toucanwharf/support/ids.h"

namespace toucanwharf::platform {
namespace {

/// Number of shards; must be the same in every instance and never change. Each
/// commits at most once in 20 ms, so that all together write 200 times a
/// second.
constexpr std::uint32_t kShards = 4;
/// Poll period of shards with work; shorter than the gap between commits.
constexpr Duration kPollPeriod = std::chrono::milliseconds(5);

std::string JournalKey(const IdempotentRequest& request) {
  return request.customer + "/" + request.service + "/" +
         request.idempotency_key;
}

/// FNV-1a, the same in every build.
std::uint64_t StableHash(const std::string& text) {
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325ULL;
  constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  std::uint64_t hash = kOffset;
  for (const char byte : text) {
    hash = (hash ^ static_cast<unsigned char>(byte)) * kPrime;
  }
  return hash;
}

}  // namespace

IdempotencyJournal::IdempotencyJournal(transport::EventLoop& event_loop,
                                       Client& platform_client,
                                       const std::string& incarnation)
    : loop(event_loop), client(platform_client) {
  for (std::uint32_t number = 0; number < kShards; ++number) {
    this->shards.emplace_back(once::ShardSettings{}, number, incarnation);
  }
}

once::Shard& IdempotencyJournal::ShardOf(const std::string& key) {
  return this->shards[StableHash(key) % kShards];
}

std::string IdempotencyJournal::Claim(const IdempotentRequest& request,
                                      Done done) {
  std::string claim = NewId();
  const auto millis = MillisOf(request.idempotency_key);
  if (!millis.has_value()) {
    // No instance accepts such a key, so the request did not run (I3).
    auto refuse = [done = std::move(done)] {
      done(
          once::Refused{once::IdempotencyError::kKeyMalformed, once::Ran::kNo});
    };
    this->loop.Post(std::move(refuse));
    return claim;
  }
  const std::string key = JournalKey(request);
  const TimePoint deadline = this->loop.Now() + request.verdict_timeout;
  this->pending.emplace(claim, std::move(done));
  this->ShardOf(key).Claim(
      {key, claim, Sha256Hex(request.content), *millis, deadline});
  this->loop.Post([this] { this->PollShards(); });
  return claim;
}

void IdempotencyJournal::RecordOutcome(const IdempotentRequest& request,
                                       const std::string& claim,
                                       once::KeyState state,
                                       once::Outcome outcome) {
  const std::string key = JournalKey(request);
  this->ShardOf(key).RecordOutcome(
      once::Entry{key, claim, "", state, std::move(outcome)}, this->loop.Now());
  this->PollShards();
}

bool IdempotencyJournal::Idle() const {
  for (const once::Shard& shard : this->shards) {
    if (!shard.Idle()) return false;
  }
  return true;
}

void IdempotencyJournal::PollShards() {
  for (once::Shard& shard : this->shards) this->PollShard(shard);
  if (this->timer_set || this->Idle()) return;
  this->timer_set = true;
  auto poll_again = [this] {
    this->timer_set = false;
    this->PollShards();
  };
  this->loop.After(kPollPeriod, std::move(poll_again));
}

void IdempotencyJournal::PollShard(once::Shard& shard) {
  const auto call = shard.Poll(this->loop.Now(), WallMillis());
  this->DeliverDecisions(shard);
  if (call.has_value()) this->PerformCall(shard, *call);
}

void IdempotencyJournal::PerformCall(once::Shard& shard,
                                     const once::ShardCall& call) {
  if (const auto* write = std::get_if<store::Write>(&call)) {
    auto on_write = [this, &shard](const store::WriteAnswer& answer) {
      shard.OnWrite(answer);
      this->PollShard(shard);
    };
    this->client.Write(*write, std::move(on_write));
    return;
  }
  auto on_read = [this, &shard](const store::ReadAnswer& answer) {
    shard.OnRead(answer);
    this->PollShard(shard);
  };
  this->client.Read(std::get<store::ObjectKey>(call), std::move(on_read));
}

void IdempotencyJournal::DeliverDecisions(once::Shard& shard) {
  for (once::Decision& decision : shard.TakeDecisions()) {
    const auto found = this->pending.find(decision.claim);
    if (found == this->pending.end()) continue;
    const Done done = std::move(found->second);
    this->pending.erase(found);
    done(std::move(decision.verdict));
  }
}

}  // namespace toucanwharf::platform
