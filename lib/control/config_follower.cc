#include "toucanwharf/control/config_follower.h"

#include <utility>

namespace toucanwharf::control {
namespace {

/// Generations whose changes are retained for peers; a peer that is further
/// behind gets all records.
constexpr std::size_t kMaxHistorySteps = 64;
/// An instance that is further behind reads the snapshot. One that is only one
/// change behind must not read everything because a new snapshot was made.
constexpr std::uint64_t kMaxChainLength = 32;

}  // namespace

void ConfigFollower::OnHead(const store::Object& object) {
  if (object.version <= this->head_version) return;
  const std::optional<Head> decoded = DecodeHead(object.value);
  if (!decoded.has_value()) return;
  this->head = *decoded;
  this->head_version = object.version;
  this->TryAdopt();
}

bool ConfigFollower::UsesSnapshot() const {
  if (this->head.snapshot.generation <= this->config.generation) return false;
  const bool far_behind =
      this->head.generation - this->config.generation > kMaxChainLength;
  return this->config.generation == 0 || far_behind;
}

std::string ConfigFollower::ChunkName(std::uint64_t chunk) const {
  return this->head.snapshot.name + "-" + std::to_string(chunk);
}

std::optional<std::string> ConfigFollower::NextDelta() const {
  const std::uint64_t base = this->UsesSnapshot()
                                 ? this->head.snapshot.generation
                                 : this->config.generation;
  std::string name = this->head.delta;
  for (std::uint64_t generation = this->head.generation; generation > base;
       --generation) {
    const auto found = this->chain.find(generation);
    if (found == this->chain.end()) return name;
    name = found->second.previous;
  }
  return std::nullopt;
}

std::optional<store::ObjectKey> ConfigFollower::NextRead() const {
  if (this->UpToDate()) return std::nullopt;
  if (this->UsesSnapshot()) {
    for (std::uint64_t chunk = 0; chunk < this->head.snapshot.chunks; ++chunk) {
      if (this->chunks.contains(chunk)) continue;
      return store::ObjectKey{kConfigCollection, this->ChunkName(chunk)};
    }
  }
  const std::optional<std::string> delta = this->NextDelta();
  if (!delta.has_value()) return std::nullopt;
  return store::ObjectKey{kConfigCollection, *delta};
}

bool ConfigFollower::OnRead(const store::ObjectKey& key,
                            const store::ReadAnswer& answer) {
  // The read is stale, or the head changed; either resolves by itself.
  if (answer.status != store::ReadStatus::kFound) return false;
  if (this->chunks_snapshot != this->head.snapshot.name) {
    this->chunks.clear();
    this->chunks_snapshot = this->head.snapshot.name;
  }
  for (std::uint64_t chunk = 0; chunk < this->head.snapshot.chunks; ++chunk) {
    if (key.name != this->ChunkName(chunk)) continue;
    std::optional<RecordMap> records = DecodeChunk(answer.object.value);
    if (!records.has_value()) return false;
    this->chunks.insert_or_assign(chunk, std::move(*records));
    return this->TryAdopt();
  }
  std::optional<Delta> delta = DecodeDelta(answer.object.value);
  if (!delta.has_value() || this->NextDelta() != key.name) return false;
  const std::uint64_t generation = delta->generation;
  this->chain.insert_or_assign(generation, std::move(*delta));
  return this->TryAdopt();
}

void ConfigFollower::AddToHistory(std::uint64_t generation,
                                  const ChangeMap& changes) {
  this->history.push_back(Step{generation, changes});
  if (this->history.size() > kMaxHistorySteps) this->history.pop_front();
}

void ConfigFollower::Apply(std::uint64_t generation, const ChangeMap& changes) {
  for (const auto& [name, value] : changes) {
    if (value.has_value()) {
      this->config.records[name] = *value;
    } else {
      this->config.records.erase(name);
    }
  }
  this->config.generation = generation;
}

void ConfigFollower::ApplyChain(std::uint64_t above) {
  for (const auto& [generation, delta] : this->chain) {
    if (generation <= above) continue;
    this->Apply(generation, delta.changes);
    this->AddToHistory(generation, delta.changes);
  }
  this->chain.clear();
}

bool ConfigFollower::TryAdopt() {
  if (this->UpToDate() || this->NextDelta().has_value()) return false;
  const SnapshotName& snapshot = this->head.snapshot;
  if (this->UsesSnapshot()) {
    const bool complete = this->chunks_snapshot == snapshot.name &&
                          this->chunks.size() == snapshot.chunks;
    if (!complete) return false;
    this->config = Config{snapshot.generation, {}};
    for (const auto& [chunk, records] : this->chunks) {
      this->config.records.insert(records.begin(), records.end());
    }
    this->chunks.clear();
    this->history.clear();
  }
  this->ApplyChain(this->config.generation);
  return true;
}

std::optional<PeerUpdate> ConfigFollower::UpdateFor(
    std::uint64_t peer_generation) const {
  if (peer_generation >= this->config.generation) return std::nullopt;
  PeerUpdate update{peer_generation, this->config.generation, {}};
  const bool covered = !this->history.empty() &&
                       this->history.front().generation <= peer_generation + 1;
  if (covered) {
    for (const Step& step : this->history) {
      if (step.generation <= peer_generation) continue;
      for (const auto& [name, value] : step.changes) {
        update.changes.insert_or_assign(name, value);
      }
    }
    return update;
  }
  update.from = 0;
  for (const auto& [name, value] : this->config.records) {
    update.changes[name] = value;
  }
  return update;
}

bool ConfigFollower::OnPeer(const PeerUpdate& update) {
  if (update.to <= this->config.generation) return false;
  if (update.from == 0) {
    this->config.records.clear();
    this->history.clear();
  } else if (update.from != this->config.generation) {
    return false;
  }
  this->Apply(update.to, update.changes);
  // The merged changes of several generations can't serve a peer between them.
  if (update.to == update.from + 1) {
    this->AddToHistory(update.to, update.changes);
  } else {
    this->history.clear();
  }
  this->chain.erase(this->chain.begin(), this->chain.upper_bound(update.to));
  this->TryAdopt();
  return true;
}

}  // namespace toucanwharf::control
