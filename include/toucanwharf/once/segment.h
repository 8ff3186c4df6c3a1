#ifndef TOUCANWHARF_ONCE_SEGMENT_H_
#define TOUCANWHARF_ONCE_SEGMENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/once/entry.h"

namespace toucanwharf::once {

/// One object of a shard's journal. Segment n lies in the object of slot
/// n modulo the number of slots. It is appended to until it is sealed, never
/// changed after that, and overwritten by segment n + slots when its keys are
/// old.
struct Segment {
  std::uint64_t index = 0;
  /// Set by the last write of the segment. Only a sealed copy is the final one:
  /// of a segment that has a successor, a copy without it is stale.
  bool sealed = false;
  /// Keys with a time up to this one are refused by everybody from now on.
  std::uint64_t floor_millis = 0;
  /// Latest time of any key claimed in this segment.
  std::uint64_t newest_millis = 0;
  std::vector<Entry> entries;

  friend bool operator==(const Segment&, const Segment&) = default;
};

/// Returns whether \p body can be kept: not too long, and text that JSON
/// carries unchanged. A repeat must get the first answer or none, never a part.
/// Thread safety: safe.
bool CanKeep(const std::string& body);

/// Returns one entry as JSON text.
/// Thread safety: safe.
std::string EncodeEntry(const Entry& entry);

/// Returns the JSON text of \p segment with \p entries_text, entries joined by
/// commas, in place of its entries: appending doesn't encode the rest again.
/// Thread safety: safe.
std::string EncodeSegment(const Segment& segment,
                          std::string_view entries_text);

/// Returns the segment of JSON \p text, or nothing if it isn't one.
/// Thread safety: safe.
std::optional<Segment> DecodeSegment(std::string_view text);

}  // namespace toucanwharf::once

#endif  // TOUCANWHARF_ONCE_SEGMENT_H_
