#ifndef TOUCANWHARF_GOSSIP_CONFIGURATION_ID_H_
#define TOUCANWHARF_GOSSIP_CONFIGURATION_ID_H_

#include <cstdint>

#include "toucanwharf/store/revision.h"

namespace toucanwharf::gossip {

/// Which configuration an instance has in force.
///
/// Failure guarded against: an accepted configuration is replaced by an older
/// one that the store shows after its return from a copy (I7). What the
/// operator accepted last is told by the operator's own number, not by where
/// the store keeps it.
struct ConfigurationId {
  /// The operator's number, which rises with each change; 0 for none.
  std::uint64_t version = 0;
  /// State of the store in which it was read.
  store::Revision revision;

  /// Returns whether this replaces \p other. The same version is a new one only
  /// if it was written over the other within one epoch of the store.
  bool IsNewerThan(const ConfigurationId& other) const {
    if (this->version != other.version) return this->version > other.version;
    return this->revision.epoch == other.revision.epoch &&
           this->revision.number > other.revision.number;
  }

  friend bool operator==(const ConfigurationId&,
                         const ConfigurationId&) = default;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_CONFIGURATION_ID_H_
