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

/// Publishes one generation: its delta, every so often a snapshot, and last the
/// head, by which all of it takes effect atomically.
///
/// Failures guarded against (I7):
///  - A publisher paused past its lease resumes and continues. The lease is
///    checked before each write; a head write already in flight fails if
///    another holder published, because it is conditional on the head that this
///    publisher built on.
///  - Two publishers mix their deltas. The objects' names contain the fencing
///    number, and only the head determines which of them count.
///
/// Thread safety: none; for one thread.
class Publisher {
 public:
  /// \p writer is unique to this process.
  explicit Publisher(std::string writer);

  /// Starts to publish \p changes, made from the records as of
  /// \p records_revision, on top of \p base. Returns false, and does nothing,
  /// if \p base was made from a later listing: this one is stale, and would
  /// undo what others already accepted (I7). Precondition: not Busy(); \p base
  /// is up to date; \p changes isn't empty.
  bool Start(const ConfigFollower& base, const ChangeMap& changes,
             std::uint64_t records_revision, std::uint64_t fence);
  /// Returns whether a generation is being published.
  bool Busy() const { return !this->writes.empty(); }

  /// Returns the call to make now, if any; aborts when \p lease is no longer
  /// held. At most one call is outstanding; each is answered by exactly one
  /// OnRead or OnWrite, also on a timeout.
  std::optional<LeaseCall> Poll(const Lease& lease, TimePoint now);
  /// Handle the answer of a call. Each returns the published head object once
  /// it took effect.
  std::optional<store::Object> OnRead(const store::ReadAnswer& answer);
  std::optional<store::Object> OnWrite(const store::WriteAnswer& answer);

 private:
  void Add(const std::string& name, const store::Revision& if_version,
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
