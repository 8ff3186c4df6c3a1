#ifndef TOUCANWHARF_ONCE_SEGMENT_H_
#define TOUCANWHARF_ONCE_SEGMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/once/entry.h"

namespace toucanwharf::once {

/// One object of a shard's journal. Segment n is stored in the object of slot
/// n modulo the number of slots. Entries are appended until it is sealed; after
/// that it never changes, until segment n + slots overwrites it when its keys
/// are old.
struct Segment {
  std::uint64_t index = 0;
  /// Set by the last write of the segment. If the segment has a successor, a
  /// copy that isn't sealed is stale.
  bool sealed = false;
  /// Every instance refuses keys with a time up to and including this one.
  std::uint64_t floor_millis = 0;
  /// Latest time of any key claimed in this segment.
  std::uint64_t newest_millis = 0;
  std::vector<Entry> entries;

  friend bool operator==(const Segment&, const Segment&) = default;
};

/// Returns whether \p body can be retained: not too long, and text that JSON
/// preserves. A repeat must get the first answer or none, never a part of it.
/// Thread safety: safe.
bool CanRetainBody(const std::string& body);

/// Returns one entry as JSON text.
/// Thread safety: safe.
std::string EncodeEntry(const Entry& entry);

/// Returns the JSON text of \p segment with \p entries_text, encoded entries
/// joined by commas, in place of its entries, so that an append doesn't encode
/// the existing entries again.
/// Thread safety: safe.
std::string EncodeSegment(const Segment& segment,
                          std::string_view entries_text);

/// Returns the segment in JSON \p text, or nothing if it is malformed.
/// Thread safety: safe.
std::optional<Segment> DecodeSegment(std::string_view text);

}  // namespace toucanwharf::once

#endif  // TOUCANWHARF_ONCE_SEGMENT_H_
