#ifndef TOUCANWHARF_CONTROL_PUBLISHER_H_
#define TOUCANWHARF_CONTROL_PUBLISHER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "toucanwharf/control/config_follower.h"
#include "toucanwharf/control/lease.h"
#include "toucanwharf/store/conditional_write.h"

namespace toucanwharf::control {

/// Publishes one generation: its delta, at times a snapshot, and last the
/// head, by which all of it takes effect at once.
///
/// Failures guarded against (I7):
///  - a publisher paused past its lease wakes and goes on. The lease is asked
///    before each write; a head write that was already on its way fails if
///    another holder published, because it is conditional on the head that
///    this publisher had built on.
///  - two publishers mix their deltas. The objects' names hold the fencing
///    number, and only the head says which of them count.
///
/// Thread safety: none; for one thread.
class Publisher {
 public:
  /// \p writer is unique to this process.
  explicit Publisher(std::string writer);

  /// Begins to publish \p changes, made from the records as of
  /// \p records_revision, on top of \p base. Returns false, and does nothing,
  /// if \p base was made from a later listing: this one is stale, and would
  /// take back what others already accepted (I7).
  /// Precondition: not Busy(); \p base is up to date; \p changes isn't empty.
  bool Start(const ConfigFollower& base, const ChangeMap& changes,
             std::uint64_t records_revision, std::uint64_t fence);
  /// Returns whether a generation is on its way.
  bool Busy() const { return !this->writes.empty(); }

  /// Returns the call to make now, if any; gives up when \p lease no longer
  /// holds. At most one call is outstanding; each is answered by exactly one
  /// OnRead or OnWrite, also on a timeout.
  std::optional<LeaseCall> Poll(const Lease& lease, TimePoint now);
  /// Each returns the published head object when that took effect.
  std::optional<store::Object> OnRead(const store::ReadAnswer& answer);
  std::optional<store::Object> OnWrite(const store::WriteAnswer& answer);

 private:
  void Add(const std::string& name, std::uint64_t if_version,
           std::string value);
  SnapshotName AddSnapshot(const Config& config, const ChangeMap& changes,
                           std::uint64_t generation, const std::string& suffix);
  std::optional<store::Object> Settle();

  std::string writer;
  std::uint64_t tokens = 0;
  std::uint64_t fence = 0;
  bool outstanding = false;
  std::deque<store::ConditionalWrite> writes;
};

}  // namespace toucanwharf::control

#endif  // TOUCANWHARF_CONTROL_PUBLISHER_H_
