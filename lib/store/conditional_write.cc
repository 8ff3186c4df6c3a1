#include "toucanwharf/store/conditional_write.h"

#include <algorithm>
#include <utility>

namespace toucanwharf::store {

ConditionalWrite::ConditionalWrite(Write request)
    : write(std::move(request)), seen_version(this->write.if_version) {}

bool ConditionalWrite::Done() const {
  return this->step == Step::kApplied || this->step == Step::kConflict;
}

void ConditionalWrite::Apply(const Revision& version) {
  this->applied_version = version;
  this->step = Step::kApplied;
}

void ConditionalWrite::OnWrite(const WriteAnswer& answer) {
  if (this->Done()) return;
  if (answer.status == WriteStatus::kWritten) {
    this->Apply(answer.version);
    return;
  }
  this->step = Step::kRead;
  if (answer.status == WriteStatus::kUnknown) return;
  // A conflict is read back as well: it may be with an earlier attempt of this
  // same write, whose answer was lost.
  this->seen_version = std::max(this->seen_version, answer.version);
  // No object where one was expected: it was deleted, there is nothing to read.
  if (!answer.version.IsSet() && this->write.if_version.IsSet()) {
    this->step = Step::kConflict;
  }
}

void ConditionalWrite::OnRead(const ReadAnswer& answer) {
  if (this->Done() || answer.status == ReadStatus::kUnknown) return;
  if (answer.status == ReadStatus::kMissing) {
    // The read may be stale, and only a write's answer proves a deletion. If a
    // version other than the expected one was seen, read again.
    if (this->seen_version == this->write.if_version) this->step = Step::kWrite;
    return;
  }
  const Object& object = answer.object;
  if (object.writer == this->write.writer) {
    this->Apply(object.version);
    return;
  }
  // Older than a version already seen: the read is stale and proves nothing.
  if (object.version < this->seen_version) return;
  if (object.version == this->write.if_version) {
    this->step = Step::kWrite;
    return;
  }
  this->conflicting_object = object;
  this->step = Step::kConflict;
}

}  // namespace toucanwharf::store
