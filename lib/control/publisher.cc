#include "toucanwharf/control/publisher.h"

#include <cassert>
#include <utility>

namespace toucanwharf::control {
namespace {

using store::ConditionalWrite;

/// Generations between snapshots: at the target of 1,700 changes a day and 640
/// KB a snapshot, 0.4 KB a second in all.
constexpr std::uint64_t kSnapshotEvery = 32;

}  // namespace

Publisher::Publisher(std::string writer_id) : writer(std::move(writer_id)) {}

void Publisher::Add(const std::string& name, const store::Revision& if_version,
                    std::string value) {
  const std::string token = this->writer + "-" + std::to_string(++this->tokens);
  this->writes.emplace_back(
      store::Write{store::ObjectKey{kConfigCollection, name}, token, if_version,
                   std::move(value)});
}

SnapshotName Publisher::AddSnapshot(const Config& config,
                                    const ChangeMap& changes,
                                    std::uint64_t generation,
                                    const std::string& suffix) {
  RecordMap records = config.records;
  for (const auto& [name, value] : changes) {
    if (value.has_value()) {
      records[name] = *value;
    } else {
      records.erase(name);
    }
  }
  SnapshotName snapshot{generation, "snapshot-" + suffix, 0};
  for (std::string& chunk : EncodeChunks(records)) {
    const std::string number = std::to_string(snapshot.chunks);
    this->Add(snapshot.name + "-" + number, {}, std::move(chunk));
    ++snapshot.chunks;
  }
  return snapshot;
}

bool Publisher::Start(const ConfigFollower& base, const ChangeMap& changes,
                      std::uint64_t records_revision,
                      std::uint64_t lease_fence) {
  assert(!this->Busy() && base.UpToDate() && !changes.empty());
  Head head = base.KnownHead();
  if (records_revision < head.records_revision) return false;
  this->fence = lease_fence;
  head.records_revision = records_revision;
  ++head.generation;
  head.fence = lease_fence;
  // The number of tokens distinguishes a second attempt in one term from the
  // first.
  const std::string suffix = std::to_string(head.generation) + "-" +
                             std::to_string(lease_fence) + "-" +
                             std::to_string(this->tokens);
  if (head.generation % kSnapshotEvery == 0) {
    head.snapshot =
        this->AddSnapshot(base.Current(), changes, head.generation, suffix);
  }
  const Delta delta{head.generation, head.delta, changes};
  head.delta = "delta-" + suffix;
  this->Add(head.delta, {}, Encode(delta));
  this->Add(kHeadName, base.HeadVersion(), Encode(head));
  return true;
}

std::optional<LeaseCall> Publisher::Poll(const Lease& lease, TimePoint now) {
  if (!this->Busy() || this->outstanding) return std::nullopt;
  const bool holds_lease = lease.MayAct(now) && lease.Fence() == this->fence;
  if (!holds_lease) {
    this->writes.clear();
    return std::nullopt;
  }
  this->outstanding = true;
  const ConditionalWrite& write = this->writes.front();
  if (write.Next() == ConditionalWrite::Step::kRead) {
    return write.Request().key;
  }
  return write.Request();
}

std::optional<store::Object> Publisher::OnRead(
    const store::ReadAnswer& answer) {
  this->outstanding = false;
  if (!this->Busy()) return std::nullopt;
  this->writes.front().OnRead(answer);
  return this->Settle();
}

std::optional<store::Object> Publisher::OnWrite(
    const store::WriteAnswer& answer) {
  this->outstanding = false;
  if (!this->Busy()) return std::nullopt;
  this->writes.front().OnWrite(answer);
  return this->Settle();
}

std::optional<store::Object> Publisher::Settle() {
  const ConditionalWrite& write = this->writes.front();
  if (write.Next() == ConditionalWrite::Step::kConflict) {
    this->writes.clear();
    return std::nullopt;
  }
  if (write.Next() != ConditionalWrite::Step::kApplied) return std::nullopt;
  const store::Write& request = write.Request();
  const store::Object published{request.key, write.AppliedVersion(),
                                request.writer, request.value};
  this->writes.pop_front();
  if (this->Busy()) return std::nullopt;
  return published;
}

}  // namespace toucanwharf::control
