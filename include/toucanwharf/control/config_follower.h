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

/// Keeps one instance's configuration at the newest generation that it heard
/// of, from peers or from the platform.
///
/// Failures guarded against (I7): a stale read of the head, a peer that is
/// behind and answers that overtake each other would each put an older
/// configuration back in force. Only a higher generation is adopted, and a
/// generation only whole: its deltas without a gap, or its snapshot with all
/// chunks.
///
/// Thread safety: none; for one thread.
class ConfigFollower {
 public:
  /// Returns the configuration in force here.
  const Config& Current() const { return this->config; }
  /// Returns the newest generation heard of.
  std::uint64_t Target() const { return this->head.generation; }
  /// Returns whether Current() is the newest heard of.
  bool UpToDate() const { return this->Target() <= this->config.generation; }
  /// Returns the newest head heard of and the version of its object, 0 if
  /// none.
  const Head& KnownHead() const { return this->head; }
  std::uint64_t HeadVersion() const { return this->head_version; }

  /// Takes the object `config/head` from a read or a watch.
  void OnHead(const store::Object& object);
  /// Returns the next object to read to get to Target(), if any; the same
  /// until an answer is handed in.
  std::optional<store::ObjectKey> NextRead() const;
  /// Takes the answer of a read of \p key. Returns whether a new generation is
  /// in force.
  bool OnRead(const store::ObjectKey& key, const store::ReadAnswer& answer);

  /// Returns what a peer at generation \p have lacks; nothing if it is not
  /// behind. Everything, when the changes since are no longer kept.
  std::optional<PeerUpdate> UpdateFor(std::uint64_t have) const;
  /// Takes a peer's update. Returns whether a new generation is in force.
  bool OnPeer(const PeerUpdate& update);

 private:
  bool UsesSnapshot() const;
  std::string ChunkName(std::uint64_t chunk) const;
  std::optional<std::string> NextDelta() const;
  bool TryAdopt();
  void ApplyChain(std::uint64_t above);
  void Apply(std::uint64_t generation, const ChangeMap& changes);
  void Remember(std::uint64_t generation, const ChangeMap& changes);

  Config config;
  Head head;
  std::uint64_t head_version = 0;
  /// Deltas on the way from config to head, by generation.
  std::map<std::uint64_t, Delta> chain;
  std::map<std::uint64_t, RecordMap> chunks;
  std::string chunks_of;
  struct Step {
    std::uint64_t generation = 0;
    ChangeMap changes;
  };
  /// The last generations' changes, for peers.
  std::deque<Step> history;
};

}  // namespace toucanwharf::control

#endif  // TOUCANWHARF_CONTROL_CONFIG_FOLLOWER_H_
