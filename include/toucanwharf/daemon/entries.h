#ifndef TOUCANWHARF_DAEMON_ENTRIES_H_
#define TOUCANWHARF_DAEMON_ENTRIES_H_

#include <string>

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

  /// From now on this instance is in no advice of its own (I6).
  void Leave() { this->leaving = true; }

 private:
  const Directory& directory;
  const settings::Settings& settings;
  Random random;
  bool leaving = false;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_ENTRIES_H_
