#include "toucanwharf/gossip/entry_advice.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace toucanwharf::gossip {
namespace {

/// A process is ready 0.2 s after its start if the store answers; after this
/// time without being ready it is not expected to be.
constexpr Duration kMaxStartup = std::chrono::milliseconds(1000);
/// A fleet that restarts is complete within this time.
constexpr Duration kFleetStart = std::chrono::seconds(5);
/// Weight of an instance whose part of a core is not known.
constexpr double kUnknownShare = 0.1;

Duration UptimeOf(const Peer& peer, TimePoint now) {
  return peer.beacon.uptime + (now - peer.last_beacon_at);
}

}  // namespace

bool IsStarting(const Peer& peer, TimePoint now) {
  return !peer.beacon.ready && !peer.beacon.stopping &&
         peer.beacon.reaches_endpoints.value_or(false) &&
         UptimeOf(peer, now) < kMaxStartup;
}

bool MostAreStarting(const std::vector<const Peer*>& live, TimePoint now) {
  const auto young = std::count_if(
      live.begin(), live.end(),
      [now](const Peer* peer) { return UptimeOf(*peer, now) < kFleetStart; });
  return static_cast<std::size_t>(young) * 2 > live.size();
}

std::size_t CountAssumedLoaded(const PeerTable& peers, Duration uptime,
                               TimePoint now) {
  const std::vector<const Peer*> live = peers.AllLive(now);
  const std::size_t others = peers.InstanceCount(now) - 1;
  const bool fleet_starts = uptime < kFleetStart && MostAreStarting(live, now);
  if (fleet_starts) return 0;
  const auto young = std::count_if(
      live.begin(), live.end(),
      [now](const Peer* peer) { return UptimeOf(*peer, now) < kFleetStart; });
  return others - static_cast<std::size_t>(young);
}

std::vector<std::string> DrawAdvised(std::vector<AdvisedInstance> advised,
                                     std::size_t count, Random& random) {
  // Weighted sampling without replacement: the largest of u^(1/weight).
  std::vector<std::pair<double, std::string>> keyed;
  for (AdvisedInstance& instance : advised) {
    const double weight =
        instance.processor_share > 0 ? instance.processor_share : kUnknownShare;
    keyed.emplace_back(std::log(random.Unit()) / weight,
                       std::move(instance.callers_address));
  }
  std::sort(keyed.begin(), keyed.end(), std::greater<>());
  keyed.resize(std::min(keyed.size(), count));
  std::vector<std::string> addresses;
  for (auto& [key, address] : keyed) addresses.push_back(std::move(address));
  // Callers may prefer the first.
  std::shuffle(addresses.begin(), addresses.end(), random);
  return addresses;
}

}  // namespace toucanwharf::gossip
