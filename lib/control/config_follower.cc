#include "toucanwharf/control/config_follower.h"

#include <utility>

namespace toucanwharf::control {
namespace {

/// Generations whose changes are kept for peers: a peer further behind than
/// that gets everything.
constexpr std::size_t kKeptSteps = 64;
/// An instance that is further behind takes the snapshot: an instance that is
/// one change behind must not fetch everything because a snapshot was made.
constexpr std::uint64_t kLongestChain = 32;

}  // namespace

void ConfigFollower::OnHead(const store::Object& object) {
  if (object.version <= this->head_version) return;
  const std::optional<Head> news = DecodeHead(object.value);
  if (!news.has_value()) return;
  this->head = *news;
  this->head_version = object.version;
  this->TryAdopt();
}

bool ConfigFollower::UsesSnapshot() const {
  if (this->head.snapshot.generation <= this->config.generation) return false;
  const bool far =
      this->head.generation - this->config.generation > kLongestChain;
  return this->config.generation == 0 || far;
}

std::string ConfigFollower::ChunkName(std::uint64_t chunk) const {
  return this->head.snapshot.name + "-" + std::to_string(chunk);
}

std::optional<std::string> ConfigFollower::NextDelta() const {
  const std::uint64_t base = this->UsesSnapshot()
                                 ? this->head.snapshot.generation
                                 : this->config.generation;
  std::string name = this->head.delta;
  for (std::uint64_t at = this->head.generation; at > base; --at) {
    const auto found = this->chain.find(at);
    if (found == this->chain.end()) return name;
    name = found->second.previous;
  }
  return std::nullopt;
}

std::optional<store::ObjectKey> ConfigFollower::NextRead() const {
  if (this->UpToDate()) return std::nullopt;
  if (this->UsesSnapshot()) {
    for (std::uint64_t at = 0; at < this->head.snapshot.chunks; ++at) {
      if (this->chunks.contains(at)) continue;
      return store::ObjectKey{kConfigCollection, this->ChunkName(at)};
    }
  }
  const std::optional<std::string> delta = this->NextDelta();
  if (!delta.has_value()) return std::nullopt;
  return store::ObjectKey{kConfigCollection, *delta};
}

bool ConfigFollower::OnRead(const store::ObjectKey& key,
                            const store::ReadAnswer& answer) {
  // Missing: the read is stale, or the head moved on; both pass.
  if (answer.status != store::ReadStatus::kFound) return false;
  if (this->chunks_of != this->head.snapshot.name) {
    this->chunks.clear();
    this->chunks_of = this->head.snapshot.name;
  }
  for (std::uint64_t at = 0; at < this->head.snapshot.chunks; ++at) {
    if (key.name != this->ChunkName(at)) continue;
    std::optional<RecordMap> records = DecodeChunk(answer.object.value);
    if (!records.has_value()) return false;
    this->chunks.insert_or_assign(at, std::move(*records));
    return this->TryAdopt();
  }
  std::optional<Delta> delta = DecodeDelta(answer.object.value);
  if (!delta.has_value() || this->NextDelta() != key.name) return false;
  const std::uint64_t generation = delta->generation;
  this->chain.insert_or_assign(generation, std::move(*delta));
  return this->TryAdopt();
}

void ConfigFollower::Remember(std::uint64_t generation,
                              const ChangeMap& changes) {
  this->history.push_back(Step{generation, changes});
  if (this->history.size() > kKeptSteps) this->history.pop_front();
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
    this->Remember(generation, delta.changes);
  }
  this->chain.clear();
}

bool ConfigFollower::TryAdopt() {
  if (this->UpToDate() || this->NextDelta().has_value()) return false;
  const SnapshotName& snapshot = this->head.snapshot;
  if (this->UsesSnapshot()) {
    const bool whole = this->chunks_of == snapshot.name &&
                       this->chunks.size() == snapshot.chunks;
    if (!whole) return false;
    this->config = Config{snapshot.generation, {}};
    for (const auto& [at, records] : this->chunks) {
      this->config.records.insert(records.begin(), records.end());
    }
    this->chunks.clear();
    this->history.clear();
  }
  this->ApplyChain(this->config.generation);
  return true;
}

std::optional<PeerUpdate> ConfigFollower::UpdateFor(std::uint64_t have) const {
  if (have >= this->config.generation) return std::nullopt;
  PeerUpdate update{have, this->config.generation, {}};
  const bool kept =
      !this->history.empty() && this->history.front().generation <= have + 1;
  if (kept) {
    for (const Step& step : this->history) {
      if (step.generation <= have) continue;
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
  // Changes of several generations in one can't serve a peer in between.
  if (update.to == update.from + 1) {
    this->Remember(update.to, update.changes);
  } else {
    this->history.clear();
  }
  this->chain.erase(this->chain.begin(), this->chain.upper_bound(update.to));
  this->TryAdopt();
  return true;
}

}  // namespace toucanwharf::control
