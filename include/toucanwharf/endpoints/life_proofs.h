#ifndef TOUCANWHARF_ENDPOINTS_LIFE_PROOFS_H_
#define TOUCANWHARF_ENDPOINTS_LIFE_PROOFS_H_

#include <map>
#include <string>
#include <vector>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::endpoints {

/// Which of the endpoints that some instance can't reach are alive, as others
/// prove. It tells an endpoint that has ended from a path that is cut.
///
/// Load: an instance that can't reach a third of the endpoints reports them
/// with each beacon. Whoever reaches one says so for a second and needn't look
/// again meanwhile; nothing is said of endpoints that nobody reports.
/// Thread safety: none; for one thread.
class LifeProofs {
 public:
  /// Records that \p endpoint, which a peer can't reach, is alive.
  void Dispute(const std::string& endpoint, TimePoint now) {
    this->disputed[endpoint] = now;
  }
  /// Returns whether this instance has proved \p endpoint to be alive lately.
  bool IsDisputed(const std::string& endpoint, TimePoint now) const {
    return IsWithin(this->disputed, endpoint, kDisputedFor, now);
  }
  /// Returns the endpoints that this instance proves to be alive.
  std::vector<std::string> Disputed(TimePoint now) {
    std::vector<std::string> all;
    std::erase_if(this->disputed, [now](const auto& entry) {
      return now - entry.second >= kDisputedFor;
    });
    for (const auto& [id, at] : this->disputed) all.push_back(id);
    return all;
  }

  /// Records that a peer proves \p endpoint to be alive.
  void OnPeerProof(const std::string& endpoint, TimePoint now) {
    this->proven[endpoint] = now;
    std::erase_if(this->proven, [now](const auto& entry) {
      return now - entry.second >= kProvenFor;
    });
  }
  /// Returns whether a peer has proved \p endpoint to be alive lately.
  bool IsProven(const std::string& endpoint, TimePoint now) const {
    return IsWithin(this->proven, endpoint, kProvenFor, now);
  }

 private:
  using Times = std::map<std::string, TimePoint>;

  static constexpr Duration kDisputedFor = std::chrono::milliseconds(1000);
  /// Longer than the time between two beacons and a check.
  static constexpr Duration kProvenFor = std::chrono::milliseconds(1500);

  static bool IsWithin(const Times& times, const std::string& endpoint,
                       Duration length, TimePoint now) {
    const auto found = times.find(endpoint);
    return found != times.end() && now - found->second < length;
  }

  Times disputed;
  Times proven;
};

}  // namespace toucanwharf::endpoints

#endif  // TOUCANWHARF_ENDPOINTS_LIFE_PROOFS_H_
