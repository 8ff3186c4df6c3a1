#ifndef TOUCANWHARF_LIB_QUARANTINE_CRASHES_H_
#define TOUCANWHARF_LIB_QUARANTINE_CRASHES_H_

#include <algorithm>
#include <cstddef>
#include <vector>

#include "toucanwharf/quarantine/fingerprint.h"

namespace toucanwharf::quarantine {

/// Returns how many of \p crashes no answer has refuted. Thread safety: safe.
template <typename Crashes>
std::size_t CountUnrefuted(const Crashes& crashes) {
  return static_cast<std::size_t>(
      std::count_if(crashes.begin(), crashes.end(),
                    [](const auto& crash) { return !crash.refuted; }));
}

/// Orders crashes by time. Thread safety: safe.
template <typename Crash>
bool IsEarlier(const Crash& lhs, const Crash& rhs) {
  return lhs.at < rhs.at;
}

/// Inserts \p crash into \p crashes, which are ordered by time. Returns its
/// place. Thread safety: safe.
template <typename Crash>
Crash& InsertByTime(std::vector<Crash>& crashes, const Crash& crash) {
  const auto later =
      std::upper_bound(crashes.begin(), crashes.end(), crash, IsEarlier<Crash>);
  return *crashes.insert(later, crash);
}

/// Returns all that may be suspected in \p request. Thread safety: safe.
inline std::vector<Fingerprint> Carried(const RequestFingerprints& request) {
  std::vector<Fingerprint> carried = request.parts;
  carried.push_back(request.request);
  return carried;
}

}  // namespace toucanwharf::quarantine

#endif  // TOUCANWHARF_LIB_QUARANTINE_CRASHES_H_
