#ifndef TOUCANWHARF_STORE_OBJECT_H_
#define TOUCANWHARF_STORE_OBJECT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "toucanwharf/store/revision.h"

/// Calls to the platform's object API and their answers, as values. The core
/// decides on the calls, the transport makes them.
namespace toucanwharf::store {

/// The platform refuses larger values.
inline constexpr std::size_t kMaxValueBytes = 1'048'576;

/// Names one object.
struct ObjectKey {
  std::string collection;
  std::string name;

  // clang-tidy 14 takes the zero inside a defaulted <=> for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const ObjectKey&, const ObjectKey&) = default;
};

/// One object as the platform returned it.
struct Object {
  ObjectKey key;
  /// State of the store at the object's last write; not set for no object.
  Revision version;
  /// Token of the last writer.
  std::string writer;
  /// JSON text.
  std::string value;

  friend bool operator==(const Object&, const Object&) = default;
};

/// A conditional write. An `if_version` that is not set means that the object
/// must not exist.
struct Write {
  ObjectKey key;
  /// Unique for each logical write, and the same for each attempt of it.
  std::string writer;
  Revision if_version;
  /// JSON text.
  std::string value;

  friend bool operator==(const Write&, const Write&) = default;
};

/// Outcome of a write, as far as this process knows.
enum class WriteStatus {
  kWritten,
  kConflict,
  /// No answer, or an inconclusive one: the write may or may not take effect,
  /// now or later.
  kUnknown,
};

/// Answer to a Write; `version` is the new one, or in a conflict the current
/// one. Its epoch is that of the answer, also if there is no object.
struct WriteAnswer {
  WriteStatus status = WriteStatus::kUnknown;
  Revision version;

  friend bool operator==(const WriteAnswer&, const WriteAnswer&) = default;
};

enum class ReadStatus { kFound, kMissing, kUnknown };

/// Answer to a read; `object` is set only if found, but for the epoch of its
/// version, which is that of the answer. It may be stale.
struct ReadAnswer {
  ReadStatus status = ReadStatus::kUnknown;
  Object object;

  friend bool operator==(const ReadAnswer&, const ReadAnswer&) = default;
};

/// All objects of a collection at one revision of the store.
struct Listing {
  Revision revision;
  std::vector<Object> objects;

  friend bool operator==(const Listing&, const Listing&) = default;
};

/// One change that a watch reports. For a deletion the object has the key, and
/// the deletion's revision as version.
struct Event {
  bool deleted = false;
  Object object;

  friend bool operator==(const Event&, const Event&) = default;
};

}  // namespace toucanwharf::store

#endif  // TOUCANWHARF_STORE_OBJECT_H_
