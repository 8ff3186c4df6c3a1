// What a shard does with the claims and conclusions that wait: which are
// decided by what the journal already says, and which go into the next commit.

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
  std::vector<Pending> left;
  for (Pending& claim : this->pending) {
    const ClaimRequest& request = claim.request;
    if (now < request.deadline) {
      left.push_back(std::move(claim));
      continue;
    }
    const IdempotencyError reason = this->Waits(request)
                                        ? IdempotencyError::kInProgress
                                        : IdempotencyError::kJournalUnreachable;
    this->decisions.push_back(Decision{request.claim, Unknown(reason)});
    if (!claim.tried) continue;
    // The claim may be in the journal, or land there later, and nobody will
    // send for it: say so, or every repeat would end as unknown.
    Entry not_run{request.key, request.claim, "", KeyState::kNotRun, {}};
    this->conclusions.push_back(Conclusion{std::move(not_run), now});
  }
  this->pending = std::move(left);
}

std::optional<Verdict> Shard::Known(const ClaimRequest& request,
                                    std::uint64_t wall_millis) const {
  const ShardView::Known* known = this->view.Find(request.key);
  if (known != nullptr) {
    if (known->digest != request.digest)
      return Unknown(IdempotencyError::kKeyReused);
    if (known->state == KeyState::kDone) return known->outcome;
    if (known->state == KeyState::kOutcomeLost) {
      return Unknown(IdempotencyError::kOutcomeLost);
    }
    if (known->state == KeyState::kClaimed) {
      if (known->claim != request.claim) return std::nullopt;
      return Granted{};
    }
  }
  const std::uint64_t latest =
      wall_millis + this->settings.clock_tolerance_millis;
  if (request.key_millis > latest)
    return Unknown(IdempotencyError::kKeyMalformed);
  // The key may have been in a segment that was overwritten since (I4).
  if (request.key_millis <= this->view.FloorMillis()) {
    return Unknown(IdempotencyError::kKeyTooOld);
  }
  if (!this->HasRoom(wall_millis))
    return Unknown(IdempotencyError::kJournalFull);
  return std::nullopt;
}

void Shard::DecideKnown(std::uint64_t wall_millis) {
  std::vector<Pending> left;
  for (Pending& claim : this->pending) {
    std::optional<Verdict> verdict = this->Known(claim.request, wall_millis);
    if (!verdict.has_value()) {
      left.push_back(std::move(claim));
      continue;
    }
    this->decisions.push_back(
        Decision{claim.request.claim, std::move(*verdict)});
  }
  this->pending = std::move(left);
}

bool Shard::Waits(const ClaimRequest& request) const {
  const ShardView::Known* known = this->view.Find(request.key);
  return known != nullptr && known->state == KeyState::kClaimed &&
         known->claim != request.claim;
}

bool Shard::AnyWaits() const {
  return std::any_of(
      this->pending.begin(), this->pending.end(),
      [this](const Pending& claim) { return this->Waits(claim.request); });
}

std::vector<Entry> Shard::GatherClaims() {
  std::vector<Entry> batch;
  std::set<std::string> keys;
  std::size_t bytes = 0;
  for (Pending& claim : this->pending) {
    const ClaimRequest& request = claim.request;
    if (this->Waits(request) || bytes > this->settings.batch_bytes) continue;
    // Two attempts with one key in one batch: the second waits for the first.
    if (!keys.insert(request.key).second) continue;
    claim.tried = true;
    batch.push_back(Entry{
        request.key, request.claim, request.digest, KeyState::kClaimed, {}});
    bytes += EncodeEntry(batch.back()).size();
  }
  return batch;
}

bool Shard::ConclusionDue(TimePoint now) const {
  return std::any_of(
      this->conclusions.begin(), this->conclusions.end(),
      [now](const Conclusion& conclusion) { return conclusion.due <= now; });
}

void Shard::GatherConclusions(std::vector<Entry>& batch) {
  std::vector<Conclusion> left;
  std::size_t bytes = 0;
  for (Conclusion& conclusion : this->conclusions) {
    const ShardView::Known* known = this->view.Find(conclusion.entry.key);
    const bool open = known != nullptr && known->state == KeyState::kClaimed &&
                      known->claim == conclusion.entry.claim;
    if (!open) continue;
    if (bytes <= this->settings.batch_bytes) {
      batch.push_back(conclusion.entry);
      bytes += EncodeEntry(conclusion.entry).size();
    }
    // Dropped once the journal shows it.
    left.push_back(std::move(conclusion));
  }
  this->conclusions = std::move(left);
}

}  // namespace toucanwharf::once
