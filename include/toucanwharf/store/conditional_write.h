#ifndef TOUCANWHARF_STORE_CONDITIONAL_WRITE_H_
#define TOUCANWHARF_STORE_CONDITIONAL_WRITE_H_

#include <cstdint>
#include <optional>

#include "toucanwharf/store/object.h"

namespace toucanwharf::store {

/// One logical write, carried to a known end over a store that may lose
/// answers, answer late and read stale.
///
/// Failure guarded against: the write took effect but its answer was lost. A
/// plain retry then reports a conflict with the process's own write, and a
/// caller that believes it gives up a change that is in force. The guard: each
/// write has a token of its own, and after anything but a clear success the
/// object is read back. Own token there: it took effect. Version unchanged:
/// try again, with the same token, so that an earlier try that lands late is
/// recognised too. Anything else is a conflict.
///
/// Thread safety: none; for one thread.
class ConditionalWrite {
 public:
  /// What to do next.
  enum class Step { kWrite, kRead, kApplied, kConflict };

  /// Precondition: \p write.writer is used for no other logical write.
  explicit ConditionalWrite(Write write);

  /// Returns the next step; the same until an answer is handed in.
  Step Next() const { return this->step; }
  /// Returns the write to send, the same for each try.
  const Write& Request() const { return this->write; }

  /// Takes the answer of a write. Answers after the end are ignored.
  void OnWrite(const WriteAnswer& answer);
  /// Takes the answer of a read that was started after the last write's
  /// answer, or after its timeout. Answers after the end are ignored.
  void OnRead(const ReadAnswer& answer);

  /// Returns the version that the write made. Precondition: Next() is
  /// kApplied.
  std::uint64_t AppliedVersion() const { return this->applied_version; }
  /// Returns the object that stands in the way, or nothing if it was deleted.
  /// It may have been written on top of this write: a caller to whom that
  /// matters looks into the value. Precondition: Next() is kConflict.
  const std::optional<Object>& ConflictingObject() const {
    return this->obstacle;
  }

 private:
  bool Done() const;
  void Apply(std::uint64_t version);

  Write write;
  Step step = Step::kWrite;
  std::uint64_t seen_version = 0;
  std::uint64_t applied_version = 0;
  std::optional<Object> obstacle;
};

}  // namespace toucanwharf::store

#endif  // TOUCANWHARF_STORE_CONDITIONAL_WRITE_H_
