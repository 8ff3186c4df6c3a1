#ifndef TOUCANWHARF_INSTANCE_REGISTRATION_H_
#define TOUCANWHARF_INSTANCE_REGISTRATION_H_

#include <optional>
#include <string>

#include "toucanwharf/gossip/backup_leaders.h"

namespace toucanwharf::instance {

/// What an instance writes of itself to the store, for those that start later:
/// its control address, failure domain and part of a core.
using Registration = gossip::BackupLeaderCandidate;

/// Returns \p registration as text. Thread safety: safe.
std::string ToText(const Registration& registration);
/// The way back; nothing for a text that is no registration.
/// Thread safety: safe.
std::optional<Registration> RegistrationFromText(const std::string& text);

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_REGISTRATION_H_
