#ifndef TOUCANWHARF_GOSSIP_KEY_RANGE_H_
#define TOUCANWHARF_GOSSIP_KEY_RANGE_H_

#include <cstddef>
#include <cstdint>
#include <limits>

namespace toucanwharf::gossip {

/// A part of all endpoints: those whose keys (see endpoints::EndpointKey) lie
/// in it. Keys are spread evenly, so that parts of a width hold as many.
struct KeyRange {
  std::uint32_t first = 0;
  std::uint32_t last = std::numeric_limits<std::uint32_t>::max();

  /// Returns whether \p key lies in it. Thread safety: safe.
  bool Contains(std::uint32_t key) const {
    return this->first <= key && key <= this->last;
  }
  /// Returns how many parts of this width make the whole.
  /// Thread safety: safe.
  std::size_t Parts() const;

  friend bool operator==(const KeyRange&, const KeyRange&) = default;
};

/// Cuts what the leader tells of all endpoints into parts, one for each round.
///
/// Load that it answers: thousands of endpoints. What the leader knows of 3,000
/// has 78 KB, more than a datagram holds, and would take the whole of its link
/// if it told hundreds of instances twice a second. Each part stands alone, so
/// that a lost one is made good by the same part's next turn.
/// Thread safety: none; for one thread.
class KeyRanges {
 public:
  /// So many endpoints are told of in one message, in some 16 KB.
  static constexpr std::size_t kMostEndpoints = 600;

  /// Returns the part whose turn it is, of \p endpoints endpoints.
  KeyRange Next(std::size_t endpoints);

 private:
  std::size_t turn = 0;
};

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_KEY_RANGE_H_
