// Handling of a shard's pending claims and outcomes: which claims the journal
// already decides, and which entries go into the next commit.

#include <algorithm>
#include <set>
#include <utility>

#include "toucanwharf/once/shard.h"

namespace toucanwharf::once {
namespace {

Refused Unknown(IdempotencyError reason) {
  return Refused{reason, Ran::kUnknown};
}

}  // namespace

void Shard::ExpireClaims(TimePoint now) {
  std::vector<PendingClaim> remaining;
  for (PendingClaim& claim : this->pending) {
    const ClaimRequest& request = claim.request;
    if (now < request.deadline) {
      remaining.push_back(std::move(claim));
      continue;
    }
    const IdempotencyError reason = this->Blocked(request)
                                        ? IdempotencyError::kInProgress
                                        : IdempotencyError::kJournalUnreachable;
    this->decisions.push_back(Decision{request.claim, Unknown(reason)});
    if (!claim.commit_sent) continue;
    // The claim may be in the journal, or get there later, but its request will
    // never be sent. Record that; otherwise the outcome of every repeat would
    // be unknown.
    Entry not_run{request.key, request.claim, "", KeyState::kNotRun, {}};
    this->outcomes.push_back(PendingOutcome{std::move(not_run), now});
  }
  this->pending = std::move(remaining);
}

std::optional<Verdict> Shard::VerdictFromJournal(
    const ClaimRequest& request, std::uint64_t wall_millis) const {
  const ShardView::KeyRecord* record = this->view.Find(request.key);
  if (record != nullptr) {
    if (record->digest != request.digest) {
      return Unknown(IdempotencyError::kKeyReused);
    }
    if (record->state == KeyState::kDone) return record->outcome;
    if (record->state == KeyState::kOutcomeLost) {
      return Unknown(IdempotencyError::kOutcomeLost);
    }
    if (record->state == KeyState::kClaimed) {
      if (record->claim != request.claim) return std::nullopt;
      return Granted{};
    }
  }
  const std::uint64_t latest =
      wall_millis + this->settings.clock_tolerance_millis;
  if (request.key_millis > latest) {
    return Unknown(IdempotencyError::kKeyMalformed);
  }
  // The key may have been in a segment that has been overwritten since (I4).
  if (request.key_millis <= this->view.FloorMillis()) {
    return Unknown(IdempotencyError::kKeyTooOld);
  }
  if (!this->HasCapacity(wall_millis)) {
    return Unknown(IdempotencyError::kJournalFull);
  }
  return std::nullopt;
}

void Shard::DecideFromJournal(std::uint64_t wall_millis) {
  std::vector<PendingClaim> remaining;
  for (PendingClaim& claim : this->pending) {
    std::optional<Verdict> verdict =
        this->VerdictFromJournal(claim.request, wall_millis);
    if (!verdict.has_value()) {
      remaining.push_back(std::move(claim));
      continue;
    }
    this->decisions.push_back(
        Decision{claim.request.claim, std::move(*verdict)});
  }
  this->pending = std::move(remaining);
}

bool Shard::Blocked(const ClaimRequest& request) const {
  const ShardView::KeyRecord* record = this->view.Find(request.key);
  return record != nullptr && record->state == KeyState::kClaimed &&
         record->claim != request.claim;
}

bool Shard::AnyBlocked() const {
  return std::any_of(this->pending.begin(), this->pending.end(),
                     [this](const PendingClaim& claim) {
                       return this->Blocked(claim.request);
                     });
}

std::vector<Entry> Shard::GatherClaims() {
  std::vector<Entry> batch;
  std::set<std::string> keys;
  std::size_t bytes = 0;
  for (PendingClaim& claim : this->pending) {
    const ClaimRequest& request = claim.request;
    if (this->Blocked(request) || bytes > this->settings.batch_bytes) continue;
    // Of two attempts with the same key in a batch, the second waits.
    if (!keys.insert(request.key).second) continue;
    claim.commit_sent = true;
    batch.push_back(Entry{
        request.key, request.claim, request.digest, KeyState::kClaimed, {}});
    bytes += EncodeEntry(batch.back()).size();
  }
  return batch;
}

bool Shard::OutcomeDue(TimePoint now) const {
  return std::any_of(
      this->outcomes.begin(), this->outcomes.end(),
      [now](const PendingOutcome& outcome) { return outcome.due <= now; });
}

void Shard::GatherOutcomes(std::vector<Entry>& batch) {
  std::vector<PendingOutcome> remaining;
  std::size_t bytes = 0;
  for (PendingOutcome& outcome : this->outcomes) {
    const ShardView::KeyRecord* record = this->view.Find(outcome.entry.key);
    const bool open = record != nullptr &&
                      record->state == KeyState::kClaimed &&
                      record->claim == outcome.entry.claim;
    if (!open) continue;
    if (bytes <= this->settings.batch_bytes) {
      batch.push_back(outcome.entry);
      bytes += EncodeEntry(outcome.entry).size();
    }
    // Kept until the journal contains it.
    remaining.push_back(std::move(outcome));
  }
  this->outcomes = std::move(remaining);
}

}  // namespace toucanwharf::once
