#include "toucanwharf/daemon/fleet_sync.h"

#include <chrono>
#include <map>
#include <utility>

#include "absl/strings/numbers.h"
#include "toucanwharf/support/ids.h"

namespace toucanwharf::daemon {
namespace {

/// Equals the poll period of the platform's list, which only supplies the peers
/// to probe.
constexpr Duration kSyncPeriod = std::chrono::seconds(1);
constexpr Duration kFetchTimeout = std::chrono::seconds(2);

exchange::PeerCallbacks MakePeerCallbacks(const ConfigCallbacks& config,
                                          AnswerSender answer_sender) {
  exchange::PeerCallbacks callbacks;
  callbacks.config = config.update_for;
  callbacks.answer = std::move(answer_sender);
  return callbacks;
}

}  // namespace

FleetSync::FleetSync(transport::EventLoop& loop,
                     const settings::Settings& settings,
                     const Directory& directory, Metrics& metrics,
                     ConfigCallbacks config, AnswerSender answer_sender,
                     std::uint64_t seed)
    : loop(loop),
      settings(settings),
      directory(directory),
      metrics(metrics),
      config(std::move(config)),
      random(seed),
      peers(loop, settings,
            MakePeerCallbacks(this->config, std::move(answer_sender))) {}

Result<void> FleetSync::Start() {
  BOOST_OUTCOME_TRY(this->peers.Start());
  this->Tick();
  return Success();
}

void FleetSync::Tick() {
  std::vector<membership::Seed> seeds;
  for (const Instance& instance :
       this->directory.InstancesWithRole(Role::kRouter)) {
    if (instance.peer_address.empty()) continue;
    seeds.push_back({instance.id, instance.peer_address});
  }
  this->peers.OnList(seeds);
  this->peers.Publish(membership::ItemKind::kGeneration, "",
                      std::to_string(this->config.generation()));
  this->FetchNewerConfig();
  this->ExportMetrics();
  this->loop.After(kSyncPeriod, [this] { this->Tick(); });
}

void FleetSync::FetchNewerConfig() {
  if (this->fetching) return;
  std::map<std::string, std::string> addresses;
  for (const membership::Member& member : this->peers.Present()) {
    addresses[member.id] = member.address;
  }
  const std::uint64_t local = this->config.generation();
  std::vector<std::string> newer;
  for (const auto& item :
       this->peers.Items(membership::ItemKind::kGeneration)) {
    std::uint64_t generation = 0;
    const bool valid = absl::SimpleAtoi(item.value, &generation);
    if (!valid) continue;
    if (generation <= local || !addresses.contains(item.name.owner)) continue;
    newer.push_back(addresses.at(item.name.owner));
  }
  if (newer.empty()) return;
  // A random one, so that not all routers fetch from the same peer after a
  // change.
  const std::string& address = newer[this->random.Below(newer.size())];
  this->fetching = true;
  this->metrics.Count("toucanwharf_peer_config_fetches_total");
  this->peers.Client().FetchConfig(address, local, kFetchTimeout,
                                   [this](const Result<std::string>& update) {
                                     this->fetching = false;
                                     if (!update) return;
                                     this->config.apply_update(update.value());
                                   });
}

void FleetSync::ExportMetrics() {
  const exchange::Counters counts = this->peers.Counts();
  const auto set_gauge = [this](const char* name, std::uint64_t value) {
    this->metrics.Set(name, static_cast<double>(value));
  };
  set_gauge("toucanwharf_members", this->peers.Present().size());
  set_gauge("toucanwharf_peer_probes_sent", counts.probes_sent);
  set_gauge("toucanwharf_peer_probes_received", counts.probes_received);
  set_gauge("toucanwharf_peer_probes_failed", counts.probes_failed);
  set_gauge("toucanwharf_peer_bytes_sent", counts.bytes_sent);
  set_gauge("toucanwharf_peer_bytes_received", counts.bytes_received);
}

std::optional<std::string> FleetSync::OriginOf(const std::string& id) const {
  for (const membership::Member& member : this->peers.Present()) {
    if (member.id == this->settings.instance) continue;
    if (IsIdOf(id, member.id)) return member.address;
  }
  return std::nullopt;
}

std::vector<std::string> FleetSync::LiveRouters() const {
  std::vector<std::string> ids;
  for (const auto& member : this->peers.Present()) ids.push_back(member.id);
  return ids;
}

}  // namespace toucanwharf::daemon
