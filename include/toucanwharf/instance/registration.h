#ifndef TOUCANWHARF_INSTANCE_REGISTRATION_H_
#define TOUCANWHARF_INSTANCE_REGISTRATION_H_

#include <optional>
#include <string>

#include "toucanwharf/gossip/backup_leaders.h"

namespace toucanwharf::instance {

/// What an instance writes to the store, for those that start later: its
/// control address, failure domain and share of a core.
using Registration = gossip::BackupLeaderCandidate;

/// Serializes \p registration. Thread safety: safe.
std::string ToText(const Registration& registration);
/// Parses a registration; returns nothing for any other text.
/// Thread safety: safe.
std::optional<Registration> RegistrationFromText(const std::string& text);

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_REGISTRATION_H_
