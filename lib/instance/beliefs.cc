#include "toucanwharf/instance/beliefs.h"

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

}  // namespace

Beliefs::Beliefs(const InstanceSettings& settings, std::string instance_id)
    : instance(std::move(instance_id)),
      freshness(settings.bounds.revocation, kRevocationMargin),
      endpoints(kOutageGrace,
                kHeartbeatsOfAnOutage * settings.endpoint_heartbeat),
      peers(this->instance),
      strict_revocation(settings.bounds.strict_revocation) {}

bool Beliefs::KeysHold(TimePoint now) const {
  return !this->strict_revocation || this->freshness.Holds(now);
}

bool Beliefs::KnowEnough(TimePoint now) const {
  return this->table && this->endpoints.Revision() > 0 && this->KeysHold(now);
}

bool Beliefs::Ready(TimePoint now) const {
  return !this->stopping_since && this->KnowEnough(now);
}

}  // namespace toucanwharf::instance
