#include "toucanwharf/daemon/entry_advice_provider.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace toucanwharf::daemon {

using Json = nlohmann::json;

namespace {

routing::AdviceSettings AdviceSettingsOf(const settings::Settings& settings) {
  routing::AdviceSettings advice;
  advice.time_to_live = settings.timeouts.entries_ttl;
  return advice;
}

}  // namespace

EntryAdviceProvider::EntryAdviceProvider(const Directory& directory,
                                         const settings::Settings& settings,
                                         std::uint64_t seed)
    : directory(directory),
      settings(settings),
      advisor(AdviceSettingsOf(settings)),
      random(seed) {}

std::string EntryAdviceProvider::Advice(const std::string& customer) {
  const auto instances = this->Instances();
  const double share =
      this->traffic_share ? this->traffic_share(customer) : 0.0;
  const auto advice =
      this->advisor.For(customer, share, instances, this->random);
  std::map<std::string, const routing::EntryInstance*> by_address;
  for (const auto& instance : instances) {
    by_address[instance.address] = &instance;
  }
  Json entries = Json::array();
  for (const std::string& address : advice.addresses) {
    const routing::EntryInstance& instance = *by_address.at(address);
    entries.push_back({{"instance", instance.id},
                       {"address", address},
                       {"failure_domain", instance.failure_domain}});
  }
  const auto ttl =
      std::chrono::floor<std::chrono::seconds>(advice.time_to_live);
  const auto ttl_s = std::max<std::int64_t>(ttl.count(), 1);
  return Json({{"entries", entries}, {"ttl_s", ttl_s}}).dump() + "\n";
}

std::vector<routing::EntryInstance> EntryAdviceProvider::Instances() const {
  std::vector<routing::EntryInstance> instances;
  for (const Instance& router :
       this->directory.InstancesWithRole(Role::kRouter)) {
    if (router.id == this->settings.instance) continue;
    if (this->is_departed && this->is_departed(router.id)) continue;
    routing::EntryInstance instance;
    instance.id = router.id;
    instance.address = router.address;
    instance.failure_domain = router.failure_domain;
    instance.leaving = router.leaving;
    instances.push_back(std::move(instance));
  }
  routing::EntryInstance local;
  local.id = this->settings.instance;
  local.address = this->settings.advertise.callers;
  local.failure_domain = this->settings.failure_domain;
  local.leaving = this->leaving;
  instances.push_back(std::move(local));
  return instances;
}

}  // namespace toucanwharf::daemon
