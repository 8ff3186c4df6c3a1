#ifndef TOUCANWHARF_GOSSIP_ENTRY_ADVICE_H_
#define TOUCANWHARF_GOSSIP_ENTRY_ADVICE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "toucanwharf/support/random.h"

/// Which instances callers are directed to.
///
/// Load: all instances of a fleet restart, and all callers ask at once where to
/// connect. Told only who is ready in the first 100 ms, 900 callers keep the
/// addresses of six of 114 instances for two seconds, and the part of the
/// engines' capacity that these six may claim isn't enough for them.
namespace toucanwharf::gossip {

/// An instance that callers can be directed to.
struct AdvisedInstance {
  std::string callers_address;
  /// Part of a core that it may use; 0 if it is not known.
  double processor_share = 0;

  friend bool operator==(const AdvisedInstance&,
                         const AdvisedInstance&) = default;
};

/// Returns the addresses of up to \p count of \p advised in random order. Of
/// more, those with a larger part of a core are more likely to be drawn, since
/// each gets about as many callers as the others.
/// Thread safety: safe.
std::vector<std::string> DrawAdvised(std::vector<AdvisedInstance> advised,
                                     std::size_t count, Random& random);

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_ENTRY_ADVICE_H_
