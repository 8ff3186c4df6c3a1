#include "toucanwharf/gossip/confirmation_exchange.h"

#include <algorithm>

namespace toucanwharf::gossip {
namespace {

/// Answers that may be sent at once, as seconds of the permitted rate: all
/// instances of a failure domain that restarts ask within 50 ms.
constexpr double kBurstSeconds = 0.25;

bool IsConfirmed(const Peer& peer, Duration max_age, TimePoint now) {
  const auto& age = peer.beacon.configuration_age;
  return age && *age + (now - peer.last_beacon_at) < max_age;
}

}  // namespace

bool ConfirmationExchange::MayRequest(TimePoint now) {
  const bool new_period =
      !this->period_begin ||
      now - *this->period_begin >= this->settings.request_period;
  if (new_period) {
    this->period_begin = now;
    this->requests_in_period = 0;
  }
  if (this->requests_in_period >= this->settings.requests_per_period) {
    return false;
  }
  ++this->requests_in_period;
  return true;
}

bool ConfirmationExchange::MayAnswer(TimePoint now) {
  const double burst = this->settings.answers_per_second * kBurstSeconds;
  const double elapsed =
      this->refilled_at
          ? std::chrono::duration<double>(now - *this->refilled_at).count()
          : kBurstSeconds;
  this->refilled_at = now;
  this->answers_available =
      std::min(burst, this->answers_available +
                          elapsed * this->settings.answers_per_second);
  if (this->answers_available < 1) return false;
  --this->answers_available;
  return true;
}

std::vector<ConfirmationSource> ConfirmedPeers(const PeerTable& peers,
                                               Duration max_age,
                                               TimePoint now) {
  std::vector<ConfirmationSource> confirmed;
  for (const std::string& address : peers.Addresses(now)) {
    const Peer* peer = peers.Live(address, now);
    if (peer == nullptr || !IsConfirmed(*peer, max_age, now)) continue;
    confirmed.push_back({address, peer->beacon.failure_domain});
  }
  return confirmed;
}

std::vector<std::string> OrderSources(
    const std::vector<ConfirmationSource>& sources, const std::string& domain,
    Random& random) {
  std::vector<std::string> nearby;
  std::vector<std::string> all;
  for (const ConfirmationSource& source : sources) {
    all.push_back(source.address);
    if (source.failure_domain == domain) nearby.push_back(source.address);
  }
  std::vector<std::string>& chosen = nearby.empty() ? all : nearby;
  std::shuffle(chosen.begin(), chosen.end(), random);
  return chosen;
}

}  // namespace toucanwharf::gossip
