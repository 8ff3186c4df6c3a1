#ifndef TOUCANWHARF_PLACEMENT_EXPECTED_RETURNS_H_
#define TOUCANWHARF_PLACEMENT_EXPECTED_RETURNS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "toucanwharf/placement/layout.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::placement {

/// Limits of ExpectedReturns.
struct ExpectedReturnsSettings {
  /// After which time a lost engine is expected back, and for how long, before
  /// any return was seen.
  Duration first_return = std::chrono::seconds(3);
  Duration first_patience = std::chrono::seconds(5);
  Duration max_patience = std::chrono::seconds(8);
  /// Patience relative to the longest of the last returns.
  double patience_factor = 1.5;
  /// Losses that are remembered.
  std::size_t remembered = 8;

  friend bool operator==(const ExpectedReturnsSettings&,
                         const ExpectedReturnsSettings&) = default;
};

/// A lost engine that is expected back.
struct ExpectedEngine {
  /// It serves nothing and loads the layers that it held.
  Accelerator engine;
  /// Until it is expected to be back.
  double seconds = 0;

  friend bool operator==(const ExpectedEngine&,
                         const ExpectedEngine&) = default;
};

/// Learns which lost engines come back, and how soon.
///
/// Load: a crashed engine is started anew within seconds, without layers and
/// under another id. If the layout is made anew without it, the engines that
/// are left load layers, serve nothing meanwhile, and load again once it is
/// back. Engines that have left by an order are not expected.
/// Thread safety: none; for one thread.
class ExpectedReturns {
 public:
  explicit ExpectedReturns(const ExpectedReturnsSettings& chosen = {})
      : settings(chosen) {}

  /// Compares \p fleet with that of the last call. \p departing are engines
  /// that leave by an order. A new engine replaces the lost one of its failure
  /// domain and kind that is missing longest.
  void Update(const std::vector<Accelerator>& fleet,
              const std::set<std::string>& departing, TimePoint now);

  /// Returns the lost engines that are expected back.
  std::vector<ExpectedEngine> Expected(TimePoint now) const;

 private:
  struct LostEngine {
    Accelerator engine;
    TimePoint at;
  };
  struct Outcome {
    bool returned = false;
    Duration after{0};
  };

  void OnArrival(const Accelerator& engine, TimePoint now);
  void Record(const Outcome& outcome);
  /// Returns the longest of the remembered returns; nothing if there was none.
  std::optional<Duration> LongestReturn() const;
  Duration Patience() const;

  ExpectedReturnsSettings settings;
  std::map<std::string, Accelerator> present;
  std::vector<LostEngine> lost;
  std::deque<Outcome> outcomes;
};

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_PLACEMENT_EXPECTED_RETURNS_H_
