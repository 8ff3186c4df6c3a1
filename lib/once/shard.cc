#include "toucanwharf/once/shard.h"

#include <algorithm>
#include <utility>

namespace toucanwharf::once {
namespace {

using store::ConditionalWrite;

}  // namespace

Shard::Shard(const ShardSettings& shard_settings, std::uint32_t shard_number,
             std::string writer_id)
    : settings(shard_settings),
      number(shard_number),
      writer(std::move(writer_id)),
      loader(shard_settings.slots),
      view(shard_settings.slots) {}

void Shard::Claim(ClaimRequest request) {
  this->pending.push_back(PendingClaim{std::move(request), false});
}

void Shard::RecordOutcome(Entry result, TimePoint now) {
  if (!CanRetainBody(result.outcome.body)) {
    result.outcome.body.clear();
    result.outcome.body_retained = false;
  }
  this->outcomes.push_back(PendingOutcome{
      std::move(result), now + this->settings.max_outcome_delay});
}

std::vector<Decision> Shard::TakeDecisions() {
  return std::exchange(this->decisions, {});
}

bool Shard::Idle() const {
  return this->pending.empty() && this->outcomes.empty() &&
         !this->commit.has_value();
}

store::ObjectKey Shard::SlotKey(std::uint64_t index) const {
  return store::ObjectKey{"once",
                          std::to_string(this->number) + "-" +
                              std::to_string(index % this->settings.slots)};
}

std::uint64_t Shard::NextIndex() const {
  return this->view.Empty() ? 0 : this->view.TailIndex() + 1;
}

bool Shard::NeedsNewSegment() const {
  return this->view.Empty() || this->view.TailSealed();
}

bool Shard::HasCapacity(std::uint64_t wall_millis) const {
  if (!this->NeedsNewSegment() || !this->next_slot_version.IsSet()) {
    return true;
  }
  // A fast wall clock overwrites young keys early. The same write raises the
  // floor, so these keys are refused from then on and none runs twice.
  return this->next_slot_newest_millis + this->settings.min_retention_millis <=
         wall_millis;
}

std::optional<ShardCall> Shard::Send(ShardCall call) {
  this->outstanding = true;
  return call;
}

std::optional<ShardCall> Shard::Poll(TimePoint now, std::uint64_t wall_millis) {
  this->ExpireClaims(now);
  if (this->outstanding) return std::nullopt;
  switch (this->phase) {
    case Phase::kLoad:
      if (this->Idle()) return std::nullopt;
      return this->Send(this->SlotKey(this->loader.NextSlot()));
    case Phase::kReadNext:
      return this->Send(this->SlotKey(this->NextIndex()));
    case Phase::kReadTail:
      return this->Send(this->SlotKey(this->view.TailIndex()));
    case Phase::kCommit:
      if (this->commit->write.Next() == ConditionalWrite::Step::kRead) {
        return this->Send(this->commit->write.Request().key);
      }
      return this->Send(this->commit->write.Request());
    case Phase::kReady:
      return this->PollReady(now, wall_millis);
  }
  return std::nullopt;
}

std::optional<ShardCall> Shard::PollReady(TimePoint now,
                                          std::uint64_t wall_millis) {
  this->DecideFromJournal(wall_millis);
  const bool full = !this->HasCapacity(wall_millis);
  const bool read_journal = this->AnyBlocked() || (full && !this->Idle());
  if (read_journal && now >= this->next_refresh) {
    this->next_refresh = now + this->settings.refresh_interval;
    const bool read_next = this->NeedsNewSegment();
    this->phase = read_next ? Phase::kReadNext : Phase::kReadTail;
    const std::uint64_t index =
        read_next ? this->NextIndex() : this->view.TailIndex();
    return this->Send(this->SlotKey(index));
  }
  if (full || now < this->next_commit) return std::nullopt;
  std::vector<Entry> batch = this->GatherClaims();
  if (!batch.empty() || this->OutcomeDue(now)) {
    this->GatherOutcomes(batch);
  }
  if (batch.empty()) return std::nullopt;
  this->next_commit = now + this->settings.min_commit_interval;
  return this->Send(this->StartCommit(std::move(batch)));
}

ShardCall Shard::StartCommit(std::vector<Entry> batch) {
  Segment segment;
  store::Revision if_version = this->next_slot_version;
  std::string text;
  segment.floor_millis = this->view.FloorMillis();
  if (this->NeedsNewSegment()) {
    segment.index = this->NextIndex();
    if (this->next_slot_version.IsSet()) {
      segment.floor_millis =
          std::max(segment.floor_millis, this->next_slot_newest_millis);
    }
  } else {
    segment.index = this->view.TailIndex();
    segment.newest_millis = this->view.TailNewestMillis();
    if_version = this->view.TailVersion();
    text = this->view.TailEntriesText();
  }
  for (const Entry& entry : batch) {
    if (!text.empty()) text.push_back(',');
    text.append(EncodeEntry(entry));
  }
  for (const PendingClaim& claim : this->pending) {
    if (!claim.commit_sent) continue;
    segment.newest_millis =
        std::max(segment.newest_millis, claim.request.key_millis);
  }
  segment.sealed = text.size() > this->settings.seal_threshold_bytes;
  store::Write write{this->SlotKey(segment.index),
                     this->writer + "-" + std::to_string(this->number) + "-" +
                         std::to_string(++this->writes),
                     if_version, EncodeSegment(segment, text)};
  segment.entries = std::move(batch);
  this->commit = Commit{ConditionalWrite(std::move(write)), segment};
  this->phase = Phase::kCommit;
  return this->commit->write.Request();
}

void Shard::OnRead(const store::ReadAnswer& answer) {
  this->outstanding = false;
  switch (this->phase) {
    case Phase::kLoad:
      this->loader.OnRead(answer);
      if (!this->loader.Done()) return;
      this->view = this->loader.MakeView();
      this->next_slot_version = {};
      this->SelectPhase();
      return;
    case Phase::kReadNext:
      this->OnReadNext(answer);
      return;
    case Phase::kReadTail:
      this->OnReadTail(answer);
      return;
    case Phase::kCommit:
      this->commit->write.OnRead(answer);
      this->FinishCommit();
      return;
    case Phase::kReady:
      return;
  }
}

void Shard::OnWrite(const store::WriteAnswer& answer) {
  this->outstanding = false;
  if (!this->commit.has_value()) return;
  this->commit->write.OnWrite(answer);
  this->FinishCommit();
}

void Shard::SelectPhase() {
  const bool read_next = !this->view.Empty() && this->view.TailSealed();
  this->phase = read_next ? Phase::kReadNext : Phase::kReady;
}

void Shard::Reload() {
  this->loader = RingLoader(this->settings.slots);
  this->phase = Phase::kLoad;
}

void Shard::OnReadNext(const store::ReadAnswer& answer) {
  if (answer.status == store::ReadStatus::kUnknown) return;
  this->phase = Phase::kReady;
  if (answer.status == store::ReadStatus::kMissing) {
    this->next_slot_version = {};
    return;
  }
  const std::optional<Segment> segment = DecodeSegment(answer.object.value);
  if (!segment.has_value()) return this->Reload();
  const std::uint64_t next = this->NextIndex();
  if (segment->index == next) {
    this->view.ApplyCopy(*segment, answer.object.version);
    return this->SelectPhase();
  }
  if (segment->index > next) return this->Reload();
  // The next segment will overwrite this one; if the read was stale, the
  // conditional write fails.
  this->next_slot_version = answer.object.version;
  this->next_slot_newest_millis = segment->newest_millis;
}

void Shard::OnReadTail(const store::ReadAnswer& answer) {
  if (answer.status == store::ReadStatus::kUnknown) return;
  this->phase = Phase::kReady;
  if (answer.status == store::ReadStatus::kMissing) return;
  // Not newer than the view: the tail is unchanged or the read was stale.
  if (answer.object.version <= this->view.TailVersion()) return;
  const std::optional<Segment> segment = DecodeSegment(answer.object.value);
  if (!segment.has_value() || segment->index != this->view.TailIndex()) {
    return this->Reload();
  }
  this->view.ApplyCopy(*segment, answer.object.version);
  this->SelectPhase();
}

void Shard::FinishCommit() {
  const ConditionalWrite::Step step = this->commit->write.Next();
  const Segment written = this->commit->segment;
  if (step == ConditionalWrite::Step::kApplied) {
    this->view.ApplyCommit(written, this->commit->write.AppliedVersion());
    this->commit.reset();
    this->SelectPhase();
    return;
  }
  if (step != ConditionalWrite::Step::kConflict) return;
  const std::optional<store::Object> conflicting =
      this->commit->write.ConflictingObject();
  this->commit.reset();
  this->OnConflict(written, conflicting);
}

void Shard::OnConflict(const Segment& written,
                       const std::optional<store::Object>& conflicting) {
  this->phase = Phase::kReady;
  if (!conflicting.has_value()) return this->Reload();
  const std::optional<Segment> segment = DecodeSegment(conflicting->value);
  if (!segment.has_value()) return this->Reload();
  if (segment->index == written.index) {
    this->view.ApplyCopy(*segment, conflicting->version);
    return this->SelectPhase();
  }
  if (segment->index > written.index) return this->Reload();
  this->next_slot_version = conflicting->version;
  this->next_slot_newest_millis = segment->newest_millis;
}

}  // namespace toucanwharf::once
