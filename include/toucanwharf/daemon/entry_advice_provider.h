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

/// Answers `GET /v1/entries`: which addresses a caller should use.
/// Thread safety: none; for the loop's thread.
class EntryAdviceProvider {
 public:
  /// Precondition: all references outlive the object.
  EntryAdviceProvider(const Directory& directory,
                      const settings::Settings& settings, std::uint64_t seed);

  /// Returns the advice for \p customer as JSON.
  std::string Advice(const std::string& customer);

  /// Sets who tells which routers left or died, before the platform's list
  /// does: callers must not be sent to them (I5).
  void SetDepartedSource(std::function<bool(const std::string& id)> source) {
    this->is_gone = std::move(source);
  }

  /// Sets who tells which part of this instance's traffic, 0 to 1, a customer
  /// has: a large one is spread over all instances.
  void SetTrafficShare(std::function<double(const std::string&)> source) {
    this->traffic_share = std::move(source);
  }

  /// Returns until when this instance must take new connections when it
  /// announced at \p announced that it leaves (I6).
  TimePoint ServeUntil(TimePoint announced) const {
    return this->advisor.ServeUntil(announced);
  }

  /// From now on this instance is in no advice of its own (I6).
  void Leave() { this->leaving = true; }

 private:
  std::vector<routing::EntryInstance> Instances() const;

  const Directory& directory;
  const settings::Settings& settings;
  routing::EntryAdvisor advisor;
  Random random;
  std::function<double(const std::string&)> traffic_share;
  std::function<bool(const std::string& id)> is_gone;
  bool leaving = false;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_ENTRY_ADVICE_PROVIDER_H_
