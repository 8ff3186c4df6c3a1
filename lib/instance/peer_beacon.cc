#include "toucanwharf/gossip/fleet_start.h"
#include "toucanwharf/instance/peer_link.h"

namespace toucanwharf::instance {

gossip::Beacon PeerLink::MakeBeacon(TimePoint now) {
  gossip::Beacon beacon;
  beacon.instance = this->state.instance;
  beacon.uptime = now - this->started;
  beacon.failure_domain = this->settings.failure_domain;
  beacon.callers_address = this->settings.callers_address;
  beacon.control_address = this->settings.control_address;
  beacon.processor_share = this->settings.processor_share;
  beacon.ready = this->state.Ready(now);
  beacon.stopping = this->state.stopping_since.has_value();
  beacon.leads = this->state.leads;
  beacon.reaches_endpoints = !this->state.paths.IsIsolated();
  beacon.store_epoch = this->state.epochs.Epoch().value_or(0);
  beacon.store_epoch_age = this->state.epochs.Age(now);
  beacon.configuration = this->state.configuration;
  beacon.configuration_age = this->state.freshness.Age(now);
  beacon.endpoints_revision = this->state.endpoints.ChangedRevision();
  if (const auto confirmed = this->state.endpoints.ConfirmedAt()) {
    beacon.endpoints_age = now - *confirmed;
  }
  beacon.stamp = now.since_start.count();
  beacon.loads = this->state.loads.Local();
  beacon.suspicions = this->state.Suspicions(now);
  beacon.alive = this->state.ProvenAlive(now);
  beacon.suspects = this->state.quarantine.Reports(now);
  const bool forwards =
      this->state.leads && this->state.peers.IsLargeFleet(now);
  beacon.limits = this->state.limits.Reports(now, forwards);
  beacon.demands = this->state.demand.All(now);
  this->state.told_demands = beacon.demands;
  return beacon;
}

void PeerLink::AddFleetState(gossip::Beacon& beacon, TimePoint now) const {
  beacon.covered_keys = this->covered_keys;
  for (const gossip::EngineStatus& status : this->engine_statuses) {
    const endpoints::Endpoint* endpoint =
        this->state.endpoints.Find(status.endpoint);
    if (endpoint == nullptr ||
        endpoint->start_time_ms != status.start_time_ms) {
      continue;
    }
    const std::uint32_t key = endpoints::EndpointKey(*endpoint);
    if (!this->covered_keys.Contains(key)) continue;
    beacon.engine_statuses.push_back(
        {key, status.layers, status.slowdown, status.token_layers});
  }
  if (this->AssistsRestart(now)) {
    beacon.ready_instances = this->ReadyInstances(now);
  }
  if (!this->ActsForFleet(now)) return;
  for (const gossip::EndpointLoad& load : this->state.loads.All()) {
    const endpoints::Endpoint* endpoint =
        this->state.endpoints.Find(load.endpoint);
    if (endpoint == nullptr) continue;
    const std::uint32_t key = endpoints::EndpointKey(*endpoint);
    if (!this->covered_keys.Contains(key)) continue;
    beacon.fleet_loads.push_back(
        {key, load.answers, load.token_layers, load.first_stage_answers});
  }
  const bool has_all_loads =
      this->state.peers.IsLargeFleet(now) && this->HasContactedAll(now);
  if (has_all_loads) beacon.ready_instances = this->ReadyInstances(now);
  if (has_all_loads && this->state.leads) {
    beacon.backup_leaders = gossip::ChooseBackupLeaders(
        this->state.peers, this->settings.failure_domain, now);
  }
}

std::vector<std::uint32_t> PeerLink::ReadyInstances(TimePoint now) const {
  std::vector<std::uint32_t> ready;
  const auto add = [&](const std::string& address) {
    if (const auto number = gossip::IpNumber(address)) ready.push_back(*number);
  };
  const bool with_starting = this->settings.mechanisms.early_advice &&
                             this->state.peers.IsLargeFleet(now);
  if (this->state.Ready(now)) add(this->settings.callers_address);
  for (const gossip::Peer* peer : this->state.peers.AllLive(now)) {
    const bool serves =
        peer->beacon.ready || (with_starting && gossip::IsStarting(*peer, now));
    if (serves) add(peer->beacon.callers_address);
  }
  return ready;
}

}  // namespace toucanwharf::instance
