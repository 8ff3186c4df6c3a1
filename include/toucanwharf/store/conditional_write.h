#ifndef TOUCANWHARF_STORE_CONDITIONAL_WRITE_H_
#define TOUCANWHARF_STORE_CONDITIONAL_WRITE_H_

#include <optional>

#include "toucanwharf/store/object.h"

namespace toucanwharf::store {

/// One logical write, carried to a known outcome over a store that may lose
/// answers, answer late and return stale reads.
///
/// Failure guarded against: the write took effect but its answer was lost. A
/// plain retry then reports a conflict with the process's own write, and a
/// caller that trusts it gives up a change that is in force. Each write
/// therefore has a unique token, and after any result but a clear success the
/// object is read back. If it has this write's token, the write took effect. If
/// its version is unchanged, the write is retried with the same token, so that
/// an earlier attempt that lands late is recognised too. Anything else is a
/// conflict.
///
/// Thread safety: none; for one thread.
class ConditionalWrite {
 public:
  /// The call to make next, or the outcome.
  enum class Step { kWrite, kRead, kApplied, kConflict };

  /// Precondition: \p write.writer is used for no other logical write.
  explicit ConditionalWrite(Write write);

  /// Returns the next step; unchanged until an answer is passed in.
  Step Next() const { return this->step; }
  /// Returns the write to send, the same for each attempt.
  const Write& Request() const { return this->write; }

  /// Handles the answer of a write. Ignored once the outcome is known.
  void OnWrite(const WriteAnswer& answer);
  /// Handles the answer of a read that was started after the last write's
  /// answer or timeout. Ignored once the outcome is known.
  void OnRead(const ReadAnswer& answer);

  /// Returns the version that the write made. Precondition: Next() is kApplied.
  Revision AppliedVersion() const { return this->applied_version; }
  /// Returns the object that the write conflicts with, or nothing if the object
  /// was deleted. It may have been written on top of this write: a caller to
  /// which that matters checks the value. Precondition: Next() is kConflict.
  const std::optional<Object>& ConflictingObject() const {
    return this->conflicting_object;
  }

 private:
  bool Done() const;
  void Apply(const Revision& version);

  Write write;
  Step step = Step::kWrite;
  Revision seen_version;
  Revision applied_version;
  std::optional<Object> conflicting_object;
};

}  // namespace toucanwharf::store

#endif  // TOUCANWHARF_STORE_CONDITIONAL_WRITE_H_
