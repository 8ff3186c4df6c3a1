#ifndef TOUCANWHARF_STORE_REVISION_H_
#define TOUCANWHARF_STORE_REVISION_H_

#include <compare>
#include <cstdint>

namespace toucanwharf::store {

/// A state of the store.
///
/// Failure guarded against: the store comes back from an older copy of itself.
/// It has lost its last changes and gives their numbers out again, so that a
/// later state has a lower number, or the same one for other contents. The
/// epoch tells them apart: states are ordered by it first.
struct Revision {
  Revision() = default;
  /// Not an aggregate, so that no bare number is taken for an epoch.
  Revision(std::uint64_t of_epoch, std::uint64_t of_number)
      : epoch(of_epoch), number(of_number) {}

  /// Rises each time the store comes back from an older copy; 0 for a store
  /// that states none.
  std::uint64_t epoch = 0;
  /// Rises with each change within an epoch; 0 for no state.
  std::uint64_t number = 0;

  /// Returns whether this is a state, and not the lack of one.
  bool IsSet() const { return this->number > 0; }

  // clang-tidy 14 takes the zero inside a defaulted <=> for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Revision&, const Revision&) = default;
};

}  // namespace toucanwharf::store

#endif  // TOUCANWHARF_STORE_REVISION_H_
