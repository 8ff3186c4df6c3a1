#include "toucanwharf/instance/instance_state.h"

#include <utility>

namespace toucanwharf::instance {
namespace {

/// Subtracted from the revocation bound. The check and the send happen in one
/// step of the loop, and the clock rates of a fleet differ by less than a
/// thousandth.
constexpr Duration kRevocationMargin = std::chrono::milliseconds(100);
/// Endpoints register again within two seconds of the store's return.
constexpr Duration kOutageGrace = std::chrono::milliseconds(2000);
/// An entry expires after three missed heartbeats; an endpoint may have missed
/// one of them on its own.
constexpr int kMissedHeartbeatsInOutage = 2;

/// A peer in a large fleet, which sends seldom, counts as unresponsive only
/// after many seconds; callers are directed to it only for this long after its
/// last beacon.
constexpr Duration kAdvisedAfterBeacon = std::chrono::milliseconds(3000);

}  // namespace

InstanceState::InstanceState(const InstanceSettings& settings,
                             std::string instance_id)
    : instance(std::move(instance_id)),
      freshness(settings.bounds.revocation, kRevocationMargin),
      endpoints(kOutageGrace,
                kMissedHeartbeatsInOutage * settings.endpoint_heartbeat),
      peers(this->instance),
      strict_revocation(settings.bounds.strict_revocation) {}

bool InstanceState::MayAcceptKeys(TimePoint now) const {
  return !this->strict_revocation || this->freshness.Holds(now);
}

bool InstanceState::CanAdmitRequests(TimePoint now) const {
  return this->route_table && this->endpoints.Revision() > 0 &&
         this->MayAcceptKeys(now);
}

std::vector<std::string> InstanceState::ReadyPeers(
    TimePoint now, const std::string& callers,
    const std::string& datagrams) const {
  std::vector<std::string> addresses;
  if (this->leads || !this->ready_list.IsCurrent(now)) {
    for (const gossip::Peer* peer : this->peers.AllLive(now)) {
      const bool recent = now - peer->last_beacon_at <= kAdvisedAfterBeacon;
      if (!recent || !peer->beacon.ready) continue;
      addresses.push_back(peer->beacon.callers_address);
    }
    return addresses;
  }
  const auto own_number = gossip::IpNumber(callers);
  for (const std::uint32_t number : this->ready_list.Ready()) {
    if (number == own_number) continue;
    const gossip::Peer* peer = this->peers.Live(
        gossip::AddressOf(number, gossip::PortOf(datagrams)), now);
    // The leader's last list still contains a peer that has just announced its
    // stop.
    const bool reports_not_ready =
        peer != nullptr && !peer->beacon.ready &&
        now - peer->last_beacon_at <= gossip::ReadyInstanceList::kMaxAge;
    if (reports_not_ready) continue;
    addresses.push_back(gossip::AddressOf(number, gossip::PortOf(callers)));
  }
  return addresses;
}

bool InstanceState::Ready(TimePoint now) const {
  return !this->stopping_since && this->CanAdmitRequests(now);
}

}  // namespace toucanwharf::instance
