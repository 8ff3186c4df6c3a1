#include "toucanwharf/gossip/fleet_start.h"

#include <algorithm>

#include "toucanwharf/gossip/initial_read_policy.h"

namespace toucanwharf::gossip {
namespace {

/// A process is ready 0.2 s after its start if the store answers; after this
/// time without being ready it is not expected to be.
constexpr Duration kMaxStartup = std::chrono::milliseconds(1000);
/// A fleet that restarts is complete within this time.
constexpr Duration kFleetStart = std::chrono::seconds(5);
/// Of fewer peers nothing follows about the fleet.
constexpr std::size_t kMinHeard = 3;

Duration UptimeOf(const Peer& peer, TimePoint now) {
  return peer.beacon.uptime + (now - peer.last_beacon_at);
}

std::size_t CountYoung(const std::vector<const Peer*>& live, TimePoint now) {
  const auto young = std::count_if(
      live.begin(), live.end(),
      [now](const Peer* peer) { return UptimeOf(*peer, now) < kFleetStart; });
  return static_cast<std::size_t>(young);
}

}  // namespace

bool IsStarting(const Peer& peer, TimePoint now) {
  return !peer.beacon.ready && !peer.beacon.stopping &&
         peer.beacon.reaches_endpoints.value_or(false) &&
         UptimeOf(peer, now) < kMaxStartup;
}

bool MostAreStarting(const std::vector<const Peer*>& live, TimePoint now) {
  return live.size() >= kMinHeard && CountYoung(live, now) * 2 > live.size();
}

std::size_t CountAssumedLoaded(const PeerTable& peers, Duration uptime,
                               TimePoint now) {
  const std::vector<const Peer*> live = peers.AllLive(now);
  const std::size_t others = peers.InstanceCount(now) - 1;
  const bool fleet_starts = uptime < kFleetStart && MostAreStarting(live, now);
  if (fleet_starts) return 0;
  return others - CountYoung(live, now);
}

std::size_t CountReadersAhead(const PeerTable& peers, const std::string& domain,
                              double share, const std::string& callers_address,
                              TimePoint now) {
  const auto live = peers.AllLive(now);
  const auto ahead =
      std::count_if(live.begin(), live.end(), [&](const Peer* peer) {
        const Beacon& beacon = peer->beacon;
        const bool reads = beacon.failure_domain == domain &&
                           !beacon.stopping &&
                           ReadsImmediately(beacon.processor_share);
        if (!reads) return false;
        if (beacon.processor_share != share) {
          return beacon.processor_share > share;
        }
        return beacon.callers_address < callers_address;
      });
  return static_cast<std::size_t>(ahead);
}

}  // namespace toucanwharf::gossip
