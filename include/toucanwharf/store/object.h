#ifndef TOUCANWHARF_STORE_OBJECT_H_
#define TOUCANWHARF_STORE_OBJECT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

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
  /// Revision of the store at the object's last write; 0 for no object.
  std::uint64_t version = 0;
  /// Token of the last writer.
  std::string writer;
  /// JSON text.
  std::string value;

  friend bool operator==(const Object&, const Object&) = default;
};

/// A conditional write. `if_version` 0 means that the object must not exist.
struct Write {
  ObjectKey key;
  /// Unique for each logical write, and the same for each attempt of it.
  std::string writer;
  std::uint64_t if_version = 0;
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
/// one.
struct WriteAnswer {
  WriteStatus status = WriteStatus::kUnknown;
  std::uint64_t version = 0;

  friend bool operator==(const WriteAnswer&, const WriteAnswer&) = default;
};

enum class ReadStatus { kFound, kMissing, kUnknown };

/// Answer to a read; `object` is set only if found. It may be stale.
struct ReadAnswer {
  ReadStatus status = ReadStatus::kUnknown;
  Object object;

  friend bool operator==(const ReadAnswer&, const ReadAnswer&) = default;
};

/// All objects of a collection at one revision of the store.
struct Listing {
  std::uint64_t revision = 0;
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
