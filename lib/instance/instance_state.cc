#include "toucanwharf/instance/instance_state.h"

#include <utility>

namespace toucanwharf::instance {
namespace {

/// Taken off the bound of revocation. The check and the send are in one step
/// of the loop, and the clocks of a fleet differ by less than a thousandth.
constexpr Duration kRevocationMargin = std::chrono::milliseconds(100);
/// Endpoints register again within two seconds of the store's return.
constexpr Duration kOutageGrace = std::chrono::milliseconds(2000);
/// An entry runs out after three heartbeats without one; an endpoint may have
/// missed one of them by itself.
constexpr int kHeartbeatsOfAnOutage = 2;

/// A peer of a large fleet, whose turn comes seldom, isn't called silent for
/// many seconds; callers are not sent to it for so long.
constexpr Duration kAdvisedFor = std::chrono::milliseconds(3000);

}  // namespace

InstanceState::InstanceState(const InstanceSettings& settings,
                             std::string instance_id)
    : instance(std::move(instance_id)),
      freshness(settings.bounds.revocation, kRevocationMargin),
      endpoints(kOutageGrace,
                kHeartbeatsOfAnOutage * settings.endpoint_heartbeat),
      peers(this->instance),
      strict_revocation(settings.bounds.strict_revocation) {}

bool InstanceState::KeysHold(TimePoint now) const {
  return !this->strict_revocation || this->freshness.Holds(now);
}

bool InstanceState::KnowEnough(TimePoint now) const {
  return this->table && this->endpoints.Revision() > 0 && this->KeysHold(now);
}

std::vector<std::string> InstanceState::ReadyPeers(
    TimePoint now, const std::string& callers,
    const std::string& datagrams) const {
  std::vector<std::string> addresses;
  if (this->leads || !this->ready_list.IsCurrent(now)) {
    for (const gossip::Peer* peer : this->peers.AllLive(now)) {
      const bool lately = now - peer->last_beacon_at <= kAdvisedFor;
      if (!lately || !peer->beacon.ready) continue;
      addresses.push_back(peer->beacon.callers_address);
    }
    return addresses;
  }
  const auto own = gossip::IpNumber(callers);
  for (const std::uint32_t number : this->ready_list.Ready()) {
    if (number == own) continue;
    const gossip::Peer* peer = this->peers.Live(
        gossip::AddressOf(number, gossip::PortOf(datagrams)), now);
    // One that has just said that it stops is still in the leader's last word.
    const bool says_not =
        peer != nullptr && !peer->beacon.ready &&
        now - peer->last_beacon_at <= gossip::ReadyInstanceList::kMaxAge;
    if (says_not) continue;
    addresses.push_back(gossip::AddressOf(number, gossip::PortOf(callers)));
  }
  return addresses;
}

bool InstanceState::Ready(TimePoint now) const {
  return !this->stopping_since && this->KnowEnough(now);
}

}  // namespace toucanwharf::instance
