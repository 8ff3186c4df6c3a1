#include "toucanwharf/daemon/entries.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

namespace toucanwharf::daemon {

using Json = nlohmann::json;

Entries::Entries(const Directory& directory, const settings::Settings& settings,
                 std::uint64_t seed)
    : directory(directory), settings(settings), random(seed) {}

std::string Entries::Advice(const std::string& /*customer*/) {
  std::vector<Json> lines;
  for (const Instance& instance : this->directory.Of(Role::kRouter)) {
    if (instance.leaving || instance.id == this->settings.instance) continue;
    if (this->is_gone && this->is_gone(instance.id)) continue;
    lines.push_back({{"instance", instance.id},
                     {"address", instance.address},
                     {"failure_domain", instance.failure_domain}});
  }
  if (!this->leaving) {
    lines.push_back({{"instance", this->settings.instance},
                     {"address", this->settings.advertise.callers},
                     {"failure_domain", this->settings.failure_domain}});
  }
  std::shuffle(lines.begin(), lines.end(), this->random);
  const auto ttl = std::chrono::duration_cast<std::chrono::seconds>(
      this->settings.timeouts.entries_ttl);
  return Json({{"entries", lines}, {"ttl_s", ttl.count()}}).dump() + "\n";
}

}  // namespace toucanwharf::daemon
