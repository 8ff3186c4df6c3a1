#include "toucanwharf/gossip/peer_table.h"

#include <algorithm>

#include "toucanwharf/gossip/beacon_schedule.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::gossip {

void PeerTable::AddAddress(const std::string& address, TimePoint now) {
  const auto [entry, added] = this->entries.try_emplace(address);
  if (added) entry->second.last_alive_at = now;
}

bool PeerTable::OnBeacon(const std::string& sender, const Beacon& beacon,
                         TimePoint now) {
  if (beacon.instance == this->local_instance) {
    this->entries.erase(sender);
    return false;
  }
  Entry& entry = this->entries[sender];
  if (entry.peer && entry.peer->beacon.instance == beacon.instance &&
      beacon.stamp <= entry.peer->beacon.stamp) {
    return false;
  }
  entry.peer = Peer{beacon, now};
  entry.last_alive_at = now;
  return true;
}

void PeerTable::RecordLiveness(const std::string& address, TimePoint now) {
  const auto found = this->entries.find(address);
  if (found != this->entries.end()) found->second.last_alive_at = now;
}

std::vector<std::string> PeerTable::Addresses(TimePoint now) const {
  return this->AddressesOf(now, [](const Entry&) { return true; });
}

std::vector<std::string> PeerTable::AddressesInDomain(const std::string& domain,
                                                      TimePoint now) const {
  return this->AddressesOf(
      now, [&](const Entry& entry) { return MayBeIn(entry, domain); });
}

std::vector<std::string> PeerTable::AddressesInOtherDomains(
    const std::string& domain, TimePoint now) const {
  return this->AddressesOf(
      now, [&](const Entry& entry) { return !MayBeIn(entry, domain); });
}

const Peer* PeerTable::Live(const std::string& address, TimePoint now) const {
  const auto found = this->entries.find(address);
  if (found == this->entries.end() || !found->second.peer) return nullptr;
  const Peer& peer = *found->second.peer;
  return now - peer.last_beacon_at > this->settings.peer_timeout ? nullptr
                                                                 : &peer;
}

bool PeerTable::KnowsInstance(const std::string& instance) const {
  return std::any_of(this->entries.begin(), this->entries.end(),
                     [&](const auto& entry) {
                       const auto& peer = entry.second.peer;
                       return peer && peer->beacon.instance == instance;
                     });
}

std::vector<const Peer*> PeerTable::AllLive(TimePoint now) const {
  std::vector<const Peer*> live;
  for (const auto& [address, entry] : this->entries) {
    const Peer* peer = this->Live(address, now);
    if (peer != nullptr) live.push_back(peer);
  }
  return live;
}

bool PeerTable::IsLargeFleet(TimePoint now) const {
  return this->InstanceCount(now) >
         1 + BeaconScheduleSettings().max_broadcast_peers;
}

std::string PeerTable::Leader(TimePoint now) const {
  for (const auto& [address, entry] : this->entries) {
    if (!entry.peer || !entry.peer->beacon.leads) continue;
    const bool alive =
        now - entry.peer->last_beacon_at <= this->settings.leader_timeout;
    if (alive) return address;
  }
  return {};
}

std::optional<Duration> PeerTable::CoordinatorConfirmationAge(
    const std::vector<std::string>& backup_leaders, TimePoint now) const {
  std::vector<std::string> coordinators = backup_leaders;
  coordinators.push_back(this->Leader(now));
  std::optional<Duration> newest;
  for (const std::string& address : coordinators) {
    const auto found = this->entries.find(address);
    if (found == this->entries.end() || !found->second.peer) continue;
    const Peer& peer = *found->second.peer;
    if (now - peer.last_beacon_at > this->settings.leader_timeout) continue;
    if (!peer.beacon.configuration_age) continue;
    const Duration age =
        *peer.beacon.configuration_age + (now - peer.last_beacon_at);
    newest = std::min(newest.value_or(age), age);
  }
  return newest;
}

std::size_t PeerTable::CandidatesAhead(double share,
                                       const std::string& callers_address,
                                       TimePoint now) const {
  const auto live = this->AllLive(now);
  const auto ahead =
      std::count_if(live.begin(), live.end(), [&](const Peer* peer) {
        const Beacon& beacon = peer->beacon;
        if (beacon.stopping) return false;
        if (beacon.processor_share != share) {
          return beacon.processor_share > share;
        }
        return beacon.callers_address < callers_address;
      });
  return static_cast<std::size_t>(ahead);
}

std::size_t PeerTable::InstanceCount(TimePoint now) const {
  std::size_t count = 1;
  for (const auto& [address, entry] : this->entries) {
    if (this->IsCounted(entry, now)) ++count;
  }
  return count;
}

std::vector<limits::Sharer> PeerTable::Sharers(std::uint32_t service,
                                               double assumed,
                                               TimePoint now) const {
  const bool demands_are_old = this->IsLargeFleet(now);
  std::vector<limits::Sharer> sharers;
  for (const auto& [address, entry] : this->entries) {
    if (!this->IsCounted(entry, now)) continue;
    if (entry.peer && entry.peer->beacon.stopping) continue;
    limits::Sharer sharer{HashText(address), assumed};
    if (entry.peer && !demands_are_old) {
      sharer.demand = 0;
      for (const limits::ServiceDemand& demand : entry.peer->beacon.demands) {
        if (demand.service == service) sharer.demand = demand.per_second;
      }
    }
    sharers.push_back(sharer);
  }
  return sharers;
}

std::size_t PeerTable::StartedWithin(Duration lately, TimePoint now) const {
  std::size_t count = 1;
  for (const auto& [address, entry] : this->entries) {
    if (!this->IsCounted(entry, now)) continue;
    const Peer* peer = this->Live(address, now);
    const bool older =
        peer != nullptr &&
        peer->beacon.uptime + (now - peer->last_beacon_at) >= lately;
    if (!older) ++count;
  }
  return count;
}

namespace {

/// Returns the later of \p best and the moment that \p beacon confirms to
/// \p receiver by \p age.
///
/// Guards against a receiver that lost power and restarted with another clock,
/// while the sender still echoes a stamp of the previous clock. The
/// confirmation would lie in the future, and the configuration would count as
/// current forever without a read. So the stamp must come from this process.
std::optional<TimePoint> LaterConfirmation(std::optional<TimePoint> best,
                                           const Beacon& beacon,
                                           const std::string& receiver,
                                           const std::optional<Duration>& age) {
  if (!age || *age < Duration(0)) return best;
  if (beacon.echo == 0 || beacon.echo_of != receiver) return best;
  const TimePoint confirmed = TimePoint{Duration(beacon.echo)} - *age;
  return best ? std::max(*best, confirmed) : confirmed;
}

}  // namespace

std::optional<TimePoint> PeerTable::ConfigurationConfirmedAt(
    const ConfigurationId& known, TimePoint now) const {
  std::optional<TimePoint> best;
  for (const Peer* peer : this->AllLive(now)) {
    const Beacon& beacon = peer->beacon;
    if (beacon.configuration.IsNewerThan(known)) continue;
    best = LaterConfirmation(best, beacon, this->local_instance,
                             beacon.configuration_age);
  }
  return best;
}

std::optional<TimePoint> PeerTable::EndpointsConfirmedAt(
    const store::Revision& revision, TimePoint now) const {
  std::optional<TimePoint> best;
  for (const Peer* peer : this->AllLive(now)) {
    const Beacon& beacon = peer->beacon;
    if (beacon.endpoints_revision > revision) continue;
    best = LaterConfirmation(best, beacon, this->local_instance,
                             beacon.endpoints_age);
  }
  return best;
}

std::optional<TimePoint> PeerTable::StoreAnsweredAt(TimePoint now) const {
  std::optional<TimePoint> best;
  for (const Peer* peer : this->AllLive(now)) {
    best = LaterConfirmation(best, peer->beacon, this->local_instance,
                             peer->beacon.endpoints_age);
  }
  return best;
}

}  // namespace toucanwharf::gossip
