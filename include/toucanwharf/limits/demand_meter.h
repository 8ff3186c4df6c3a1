#ifndef TOUCANWHARF_LIMITS_DEMAND_METER_H_
#define TOUCANWHARF_LIMITS_DEMAND_METER_H_

#include <cmath>
#include <cstdint>
#include <map>
#include <vector>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::limits {

/// Requests per second that an instance has for a service.
struct ServiceDemand {
  /// Stands for the service.
  std::uint32_t service = 0;
  double per_second = 0;

  friend bool operator==(const ServiceDemand&, const ServiceDemand&) = default;
};

/// Measures the demand of the last seconds, exponentially weighted.
/// Thread safety: none; for one thread.
class DemandMeter {
 public:
  /// Time after which a change of demand is known to about two thirds.
  static constexpr Duration kMemory = std::chrono::seconds(2);
  /// Less is no demand.
  static constexpr double kLeastPerSecond = 0.01;

  /// Records a request for \p service.
  void OnRequest(std::uint32_t service, TimePoint now) {
    Level& level = this->levels[service];
    level = {Decayed(level, now) + 1, now};
  }

  double PerSecond(std::uint32_t service, TimePoint now) const {
    const auto found = this->levels.find(service);
    return found == this->levels.end() ? 0 : Rate(found->second, now);
  }

  /// Returns the demand for each service that has any, and forgets the others.
  std::vector<ServiceDemand> All(TimePoint now) {
    std::vector<ServiceDemand> demands;
    std::erase_if(this->levels, [now](const auto& entry) {
      return Rate(entry.second, now) < kLeastPerSecond;
    });
    for (const auto& [service, level] : this->levels) {
      demands.push_back({service, Rate(level, now)});
    }
    return demands;
  }

 private:
  struct Level {
    double requests = 0;
    TimePoint at;
  };

  static double Decayed(const Level& level, TimePoint now) {
    const double age = static_cast<double>((now - level.at).count()) /
                       static_cast<double>(Duration(kMemory).count());
    return level.requests * std::exp(-age);
  }
  static double Rate(const Level& level, TimePoint now) {
    constexpr double kSeconds = std::chrono::duration<double>(kMemory).count();
    return Decayed(level, now) / kSeconds;
  }

  std::map<std::uint32_t, Level> levels;
};

}  // namespace toucanwharf::limits

#endif  // TOUCANWHARF_LIMITS_DEMAND_METER_H_
