#ifndef TOUCANWHARF_GOSSIP_KEY_RANGE_H_
#define TOUCANWHARF_GOSSIP_KEY_RANGE_H_

#include <cstddef>
#include <cstdint>
#include <limits>

namespace toucanwharf::gossip {

/// A range of endpoint keys (see endpoints::EndpointKey). Keys are spread
/// evenly, so that ranges of equal width hold about as many endpoints.
struct KeyRange {
  std::uint32_t first = 0;
  std::uint32_t last = std::numeric_limits<std::uint32_t>::max();

  /// Returns whether \p key lies in the range. Thread safety: safe.
  bool Contains(std::uint32_t key) const {
    return this->first <= key && key <= this->last;
  }
  /// Returns how many ranges of this width cover all keys. Thread safety: safe.
  std::size_t Parts() const;

  friend bool operator==(const KeyRange&, const KeyRange&) = default;
};

/// Divides the leader's report on all endpoints into ranges, one for each
/// round.
///
/// Load: thousands of endpoints. The leader's report on 3,000 of them takes 78
/// KB, more than a datagram holds, and would saturate its link if it went to
/// hundreds of instances twice a second. Each range is complete in itself, so
/// that the next report on the same range makes up for a lost one.
/// Thread safety: none; for one thread.
class KeyRanges {
 public:
  /// Endpoints in one message, of about 16 KB.
  static constexpr std::size_t kMaxEndpoints = 600;

  /// Returns the next range, of \p endpoints endpoints.
  KeyRange Next(std::size_t endpoints);

 private:
  std::size_t next_part = 0;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_KEY_RANGE_H_
