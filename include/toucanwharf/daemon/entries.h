#ifndef TOUCANWHARF_DAEMON_ENTRIES_H_
#define TOUCANWHARF_DAEMON_ENTRIES_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "toucanwharf/daemon/directory.h"
#include "toucanwharf/settings/settings.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::daemon {

/// Answers `GET /v1/entries`: which addresses a caller should use.
/// Thread safety: none; for the loop's thread.
class Entries {
 public:
  /// Precondition: all references outlive the object.
  Entries(const Directory& directory, const settings::Settings& settings,
          std::uint64_t seed);

  /// Returns the advice for \p customer as JSON.
  std::string Advice(const std::string& customer);

  /// Sets who tells which routers left or died, before the platform's list
  /// does: callers must not be sent to them (I5).
  void SetGone(std::function<bool(const std::string& id)> source) {
    this->is_gone = std::move(source);
  }

  /// From now on this instance is in no advice of its own (I6).
  void Leave() { this->leaving = true; }

 private:
  const Directory& directory;
  const settings::Settings& settings;
  Random random;
  std::function<bool(const std::string& id)> is_gone;
  bool leaving = false;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_ENTRIES_H_
