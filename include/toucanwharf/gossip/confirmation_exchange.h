#ifndef TOUCANWHARF_GOSSIP_CONFIRMATION_EXCHANGE_H_
#define TOUCANWHARF_GOSSIP_CONFIRMATION_EXCHANGE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/gossip/peer_table.h"
#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::gossip {

/// Limits of ConfirmationExchange.
struct ConfirmationExchangeSettings {
  /// A lost request or answer is made good after this time.
  Duration request_period = std::chrono::milliseconds(100);
  /// More than one, since a peer may have died or be over its limit; few
  /// enough that the six that are confirmed first can answer 300 others.
  std::size_t requests_per_period = 3;
  /// An answer takes about 0.1 ms of a core.
  double answers_per_second = 200;

  friend bool operator==(const ConfirmationExchangeSettings&,
                         const ConfirmationExchangeSettings&) = default;
};

/// Decides when an instance asks peers to confirm its configuration, and when
/// it answers such a request. Both are ordinary beacons, sent out of turn.
///
/// Load: all instances of a large fleet restart. A few read the store; the
/// others have the configuration from these within milliseconds, but may admit
/// no key before a beacon echoes one of theirs, and in a large fleet beacons
/// take turns: 1.0 s, in which callers connect to the few that are ready.
/// Thread safety: none; for one thread.
class ConfirmationExchange {
 public:
  explicit ConfirmationExchange(const ConfirmationExchangeSettings& chosen = {})
      : settings(chosen) {}

  /// Returns whether to send one more request now, and counts it if so.
  bool MayRequest(TimePoint now);
  /// Returns whether to answer one more request now, and counts it if so.
  bool MayAnswer(TimePoint now);
  Duration RequestPeriod() const { return this->settings.request_period; }

 private:
  ConfirmationExchangeSettings settings;
  std::optional<TimePoint> period_begin;
  std::size_t requests_in_period = 0;
  double answers_available = 0;
  std::optional<TimePoint> refilled_at;
};

/// A peer that may confirm the configuration.
struct ConfirmationSource {
  /// Address on which it receives datagrams.
  std::string address;
  std::string failure_domain;

  friend bool operator==(const ConfirmationSource&,
                         const ConfirmationSource&) = default;
};

/// Returns the live peers whose confirmation of the configuration is younger
/// than \p max_age. Thread safety: safe.
std::vector<ConfirmationSource> ConfirmedPeers(const PeerTable& peers,
                                               Duration max_age, TimePoint now);

/// Returns the addresses of \p sources in random order: of those in the failure
/// domain \p domain, or of all if there are none.
/// Thread safety: safe.
std::vector<std::string> OrderSources(
    const std::vector<ConfirmationSource>& sources, const std::string& domain,
    Random& random);

}  // namespace toucanwharf::gossip

#endif  // TOUCANWHARF_GOSSIP_CONFIRMATION_EXCHANGE_H_
