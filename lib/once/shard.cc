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
  this->pending.push_back(Pending{std::move(request), false});
}

void Shard::RecordOutcome(Entry conclusion, TimePoint now) {
  if (!CanKeep(conclusion.outcome.body)) {
    conclusion.outcome.body.clear();
    conclusion.outcome.body_retained = false;
  }
  this->conclusions.push_back(
      Conclusion{std::move(conclusion), now + this->settings.outcome_delay});
}

std::vector<Decision> Shard::TakeDecisions() {
  return std::exchange(this->decisions, {});
}

bool Shard::Idle() const {
  return this->pending.empty() && this->conclusions.empty() &&
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

bool Shard::HasRoom(std::uint64_t wall_millis) const {
  if (!this->NeedsNewSegment() || this->spare_version == 0) return true;
  // A wall clock that runs fast overwrites young keys early. They are refused
  // from then on, because the floor rises in the same write; none runs twice.
  return this->spare_newest_millis + this->settings.least_retention_millis <=
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
    case Phase::kFollow:
      return this->Send(this->SlotKey(this->NextIndex()));
    case Phase::kRefresh:
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
  this->DecideKnown(wall_millis);
  const bool full = !this->HasRoom(wall_millis);
  const bool look = this->AnyWaits() || (full && !this->Idle());
  if (look && now >= this->next_refresh) {
    this->next_refresh = now + this->settings.refresh;
    const bool follow = this->NeedsNewSegment();
    this->phase = follow ? Phase::kFollow : Phase::kRefresh;
    const std::uint64_t index =
        follow ? this->NextIndex() : this->view.TailIndex();
    return this->Send(this->SlotKey(index));
  }
  if (full || now < this->next_commit) return std::nullopt;
  std::vector<Entry> batch = this->GatherClaims();
  if (!batch.empty() || this->ConclusionDue(now)) {
    this->GatherConclusions(batch);
  }
  if (batch.empty()) return std::nullopt;
  this->next_commit = now + this->settings.commit_gap;
  return this->Send(this->StartCommit(std::move(batch)));
}

ShardCall Shard::StartCommit(std::vector<Entry> batch) {
  Segment segment;
  std::uint64_t if_version = this->spare_version;
  std::string text;
  segment.floor_millis = this->view.FloorMillis();
  if (this->NeedsNewSegment()) {
    segment.index = this->NextIndex();
    if (this->spare_version != 0) {
      segment.floor_millis =
          std::max(segment.floor_millis, this->spare_newest_millis);
    }
  } else {
    segment.index = this->view.TailIndex();
    segment.newest_millis = this->view.TailNewest();
    if_version = this->view.TailVersion();
    text = this->view.TailText();
  }
  for (const Entry& entry : batch) {
    if (!text.empty()) text.push_back(',');
    text.append(EncodeEntry(entry));
  }
  for (const Pending& claim : this->pending) {
    if (!claim.tried) continue;
    segment.newest_millis =
        std::max(segment.newest_millis, claim.request.key_millis);
  }
  segment.sealed = text.size() > this->settings.seal_bytes;
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
      this->spare_version = 0;
      this->TailChanged();
      return;
    case Phase::kFollow:
      this->OnFollow(answer);
      return;
    case Phase::kRefresh:
      this->OnRefresh(answer);
      return;
    case Phase::kCommit:
      this->commit->write.OnRead(answer);
      this->SettleCommit();
      return;
    case Phase::kReady:
      return;
  }
}

void Shard::OnWrite(const store::WriteAnswer& answer) {
  this->outstanding = false;
  if (!this->commit.has_value()) return;
  this->commit->write.OnWrite(answer);
  this->SettleCommit();
}

void Shard::TailChanged() {
  const bool follow = !this->view.Empty() && this->view.TailSealed();
  this->phase = follow ? Phase::kFollow : Phase::kReady;
}

void Shard::Reload() {
  this->loader = RingLoader(this->settings.slots);
  this->phase = Phase::kLoad;
}

void Shard::OnFollow(const store::ReadAnswer& answer) {
  if (answer.status == store::ReadStatus::kUnknown) return;
  this->phase = Phase::kReady;
  if (answer.status == store::ReadStatus::kMissing) {
    this->spare_version = 0;
    return;
  }
  const std::optional<Segment> segment = DecodeSegment(answer.object.value);
  if (!segment.has_value()) return this->Reload();
  const std::uint64_t next = this->NextIndex();
  if (segment->index == next) {
    this->view.Adopt(*segment, answer.object.version);
    return this->TailChanged();
  }
  if (segment->index > next) return this->Reload();
  // The segment that the next one will overwrite; if the read was stale, the
  // conditional write finds out.
  this->spare_version = answer.object.version;
  this->spare_newest_millis = segment->newest_millis;
}

void Shard::OnRefresh(const store::ReadAnswer& answer) {
  if (answer.status == store::ReadStatus::kUnknown) return;
  this->phase = Phase::kReady;
  if (answer.status == store::ReadStatus::kMissing) return;
  // Older than what was already seen: a stale read.
  if (answer.object.version <= this->view.TailVersion()) return;
  const std::optional<Segment> segment = DecodeSegment(answer.object.value);
  if (!segment.has_value() || segment->index != this->view.TailIndex()) {
    return this->Reload();
  }
  this->view.Adopt(*segment, answer.object.version);
  this->TailChanged();
}

void Shard::SettleCommit() {
  const ConditionalWrite::Step step = this->commit->write.Next();
  const Segment written = this->commit->segment;
  if (step == ConditionalWrite::Step::kApplied) {
    this->view.Extend(written, this->commit->write.AppliedVersion());
    this->commit.reset();
    this->TailChanged();
    return;
  }
  if (step != ConditionalWrite::Step::kConflict) return;
  const std::optional<store::Object> obstacle =
      this->commit->write.ConflictingObject();
  this->commit.reset();
  this->OnObstacle(written, obstacle);
}

void Shard::OnObstacle(const Segment& written,
                       const std::optional<store::Object>& obstacle) {
  this->phase = Phase::kReady;
  if (!obstacle.has_value()) return this->Reload();
  const std::optional<Segment> segment = DecodeSegment(obstacle->value);
  if (!segment.has_value()) return this->Reload();
  if (segment->index == written.index) {
    this->view.Adopt(*segment, obstacle->version);
    return this->TailChanged();
  }
  if (segment->index > written.index) return this->Reload();
  this->spare_version = obstacle->version;
  this->spare_newest_millis = segment->newest_millis;
}

}  // namespace toucanwharf::once
