#ifndef TOUCANWHARF_STORE_MIRROR_H_
#define TOUCANWHARF_STORE_MIRROR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "toucanwharf/store/object.h"

namespace toucanwharf::store {

/// A copy of one collection, kept current by a watch that resumes after its
/// last revision, and by a new listing when the platform no longer has that
/// revision (410).
///
/// Failures guarded against: a listing or a watch answer that is older than the
/// copy would restore deleted objects and undo changes; it is ignored by its
/// revision. A change between the last event and a new listing, deletions too,
/// is found by comparing the listing with the copy.
///
/// Thread safety: none; for one thread.
class Mirror {
 public:
  /// The next call to make: a listing, or a watch after a revision.
  struct Call {
    bool list = true;
    store::Revision after;

    friend bool operator==(const Call&, const Call&) = default;
  };

  /// Returns the next call; unchanged until an answer is passed in.
  Call Next() const { return Call{this->must_list, this->revision}; }

  /// Applies a listing and returns what changed.
  std::vector<Event> OnListing(const Listing& listing);
  /// Applies the events of a watch that was started after \p after and reached
  /// the revision \p reached; returns those that changed the copy.
  std::vector<Event> OnEvents(const store::Revision& after,
                              const store::Revision& reached,
                              const std::vector<Event>& events);
  /// Handles a 410 of the platform: the next call is a listing.
  void OnGone() { this->must_list = true; }

  /// Returns the objects by name.
  const std::map<std::string, Object>& Objects() const { return this->objects; }
  /// Returns the revision of the store that the copy shows.
  store::Revision Revision() const { return this->revision; }
  /// Returns whether any listing has been applied.
  bool Filled() const { return this->filled; }

 private:
  bool Apply(const Event& event);

  std::map<std::string, Object> objects;
  store::Revision revision;
  bool must_list = true;
  bool filled = false;
};

}  // namespace toucanwharf::store

#endif  // TOUCANWHARF_STORE_MIRROR_H_
