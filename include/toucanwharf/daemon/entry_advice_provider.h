#ifndef TOUCANWHARF_DAEMON_ENTRY_ADVICE_PROVIDER_H_
#define TOUCANWHARF_DAEMON_ENTRY_ADVICE_PROVIDER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "toucanwharf/daemon/directory.h"
#include "toucanwharf/routing/entry_advice.h"
#include "toucanwharf/settings/settings.h"
#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::daemon {

/// Answers `GET /v1/entries`: the entry instances that a caller should use.
/// Thread safety: none; for the loop's thread.
class EntryAdviceProvider {
 public:
  /// Precondition: all references outlive the object.
  EntryAdviceProvider(const Directory& directory,
                      const settings::Settings& settings, std::uint64_t seed);

  /// Returns the advice for \p customer as JSON.
  std::string Advice(const std::string& customer);

  /// Sets the check for routers that left or failed. It knows of them earlier
  /// than the platform's list; callers must not be sent to them (I5).
  void SetDepartedSource(std::function<bool(const std::string& id)> source) {
    this->is_departed = std::move(source);
  }

  /// Sets the source of a customer's share of this instance's traffic, 0 to 1.
  /// A customer with a large share is spread over all instances.
  void SetTrafficShare(std::function<double(const std::string&)> source) {
    this->traffic_share = std::move(source);
  }

  /// Returns until when this instance must accept new connections if it
  /// announced its drain at \p announced (I6).
  TimePoint ServeUntil(TimePoint announced) const {
    return this->advisor.ServeUntil(announced);
  }

  /// Removes this instance from its own advice from now on (I6).
  void Leave() { this->leaving = true; }

 private:
  std::vector<routing::EntryInstance> Instances() const;

  const Directory& directory;
  const settings::Settings& settings;
  routing::EntryAdvisor advisor;
  Random random;
  std::function<double(const std::string&)> traffic_share;
  std::function<bool(const std::string& id)> is_departed;
  bool leaving = false;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_ENTRY_ADVICE_PROVIDER_H_
