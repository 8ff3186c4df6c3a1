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

routing::AdviceSettings AdviceOf(const settings::Settings& settings) {
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
      advisor(AdviceOf(settings)),
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
  Json lines = Json::array();
  for (const std::string& address : advice.addresses) {
    const routing::EntryInstance& instance = *by_address.at(address);
    lines.push_back({{"instance", instance.id},
                     {"address", address},
                     {"failure_domain", instance.failure_domain}});
  }
  const auto ttl =
      std::chrono::floor<std::chrono::seconds>(advice.time_to_live);
  const auto ttl_s = std::max<std::int64_t>(ttl.count(), 1);
  return Json({{"entries", lines}, {"ttl_s", ttl_s}}).dump() + "\n";
}

std::vector<routing::EntryInstance> EntryAdviceProvider::Instances() const {
  std::vector<routing::EntryInstance> instances;
  for (const Instance& listed :
       this->directory.InstancesWithRole(Role::kRouter)) {
    if (listed.id == this->settings.instance) continue;
    if (this->is_gone && this->is_gone(listed.id)) continue;
    routing::EntryInstance instance;
    instance.id = listed.id;
    instance.address = listed.address;
    instance.failure_domain = listed.failure_domain;
    instance.leaving = listed.leaving;
    instances.push_back(std::move(instance));
  }
  routing::EntryInstance own;
  own.id = this->settings.instance;
  own.address = this->settings.advertise.callers;
  own.failure_domain = this->settings.failure_domain;
  own.leaving = this->leaving;
  instances.push_back(std::move(own));
  return instances;
}

}  // namespace toucanwharf::daemon
