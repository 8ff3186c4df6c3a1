#ifndef TOUCANWHARF_CONTROL_CONFIG_FOLLOWER_H_
#define TOUCANWHARF_CONTROL_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "toucanwharf/control/config.h"
#include "toucanwharf/store/object.h"

namespace toucanwharf::control {

/// Keeps one instance's configuration at the newest generation known from peers
/// or the platform.
///
/// Failures guarded against (I7): a stale read of the head, a peer that is
/// behind and answers that arrive out of order would each put an older
/// configuration back in force. Only a higher generation is adopted, and a
/// generation only as a whole: its deltas without a gap, or its snapshot with
/// all chunks.
///
/// Thread safety: none; for one thread.
class ConfigFollower {
 public:
  /// Returns the configuration in force here.
  const Config& Current() const { return this->config; }
  /// Returns the newest known generation.
  std::uint64_t Target() const { return this->head.generation; }
  /// Returns whether Current() is the newest known generation.
  bool UpToDate() const { return this->Target() <= this->config.generation; }
  /// Returns the newest known head, and the version of its object, not set if
  /// none.
  const Head& KnownHead() const { return this->head; }
  store::Revision HeadVersion() const { return this->head_version; }

  /// Handles the object `config/head` from a read or a watch.
  void OnHead(const store::Object& object);
  /// Returns the next object to read to reach Target(), if any; unchanged until
  /// an answer is passed in.
  std::optional<store::ObjectKey> NextRead() const;
  /// Handles the answer of a read of \p key. Returns whether a new generation
  /// is in force.
  bool OnRead(const store::ObjectKey& key, const store::ReadAnswer& answer);

  /// Returns the update for a peer at generation \p peer_generation; nothing if
  /// it is not behind. Contains all records when the changes since are no
  /// longer retained.
  std::optional<PeerUpdate> UpdateFor(std::uint64_t peer_generation) const;
  /// Applies a peer's update. Returns whether a new generation is in force.
  bool OnPeer(const PeerUpdate& update);

 private:
  bool UsesSnapshot() const;
  std::string ChunkName(std::uint64_t chunk) const;
  std::optional<std::string> NextDelta() const;
  bool TryAdopt();
  void ApplyChain(std::uint64_t above);
  void Apply(std::uint64_t generation, const ChangeMap& changes);
  void AddToHistory(std::uint64_t generation, const ChangeMap& changes);

  Config config;
  Head head;
  store::Revision head_version;
  /// Deltas between config and head, by generation.
  std::map<std::uint64_t, Delta> chain;
  std::map<std::uint64_t, RecordMap> chunks;
  std::string chunks_snapshot;
  struct Step {
    std::uint64_t generation = 0;
    ChangeMap changes;
  };
  /// Changes of the latest generations, for peers.
  std::deque<Step> history;
};

}  // namespace toucanwharf::control

#endif  // TOUCANWHARF_CONTROL_CONFIG_FOLLOWER_H_
