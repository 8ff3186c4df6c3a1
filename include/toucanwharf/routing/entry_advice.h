#ifndef TOUCANWHARF_ROUTING_ENTRY_ADVICE_H_
#define TOUCANWHARF_ROUTING_ENTRY_ADVICE_H_

#include <compare>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

/// \file
/// Advises callers which entry instances to use. No balancer stands in front of
/// the system: this advice is the only one.
///
/// Load: a few customers send most of the traffic, and a whole failure domain
/// may fail. Without a spread by customer a large one overloads the few
/// instances it happened to get; without jitter all callers come back for new
/// advice in the same second; and an instance that stops while earlier advice
/// still names it refuses callers who did nothing wrong (I6).
namespace toucanwharf::routing {

/// An entry instance, as known to membership.
struct EntryInstance {
  std::string id;
  std::string address;
  std::string failure_domain;
  bool leaving = false;
  /// Share of its capacity in use, 0 or more.
  double load = 0;

  friend bool operator==(const EntryInstance&, const EntryInstance&) = default;
};

/// Addresses for a caller, the preferred one first, and how long they are
/// valid.
struct Advice {
  std::vector<std::string> addresses;
  Duration time_to_live{0};

  friend bool operator==(const Advice&, const Advice&) = default;
};

/// Settings of the advice.
struct AdviceSettings {
  /// Mean time to live. Half a minute: a dead instance costs a caller one
  /// failed connect at most that long, and 10,000 callers ask 333 times a
  /// second.
  Duration time_to_live = std::chrono::seconds(30);
  /// Fraction by which the time to live varies up and down, so that callers
  /// that came in one burst don't come back in one.
  double jitter = 0.2;
  /// Addresses for a small customer: one in each of three failure domains, so
  /// that the loss of a domain leaves two.
  std::size_t small_spread = 3;
  /// A customer is large if its share of all traffic exceeds this fraction of
  /// one instance's part: two such customers on one instance would fill it.
  double large_fraction = 0.5;
  /// Time until all instances know that one is leaving (membership).
  Duration propagation_time = std::chrono::seconds(3);
  /// Allowance for callers whose clock or connect is late.
  Duration margin = std::chrono::seconds(2);
};

/// Makes the advice and bounds how long it stays in use.
/// Thread safety: none; for one thread.
class EntryAdvisor {
 public:
  explicit EntryAdvisor(const AdviceSettings& chosen = {}) : settings(chosen) {}

  /// Returns the advice for \p customer, which sends \p traffic_share of all
  /// traffic (0 to 1). Leaving instances are omitted immediately, unless all
  /// are leaving. Empty only if \p instances is.
  Advice For(std::string_view customer, double traffic_share,
             std::span<const EntryInstance> instances, Random& random) const;

  /// Returns until when an instance must accept new connections after it
  /// announced at \p announced that it is leaving: others may name it until
  /// they have received that, and advice given until then is valid for its full
  /// time.
  TimePoint ServeUntil(TimePoint announced) const;

 private:
  Duration JitteredTimeToLive(Random& random) const;

  AdviceSettings settings;
};

}  // namespace toucanwharf::routing

#endif  // TOUCANWHARF_ROUTING_ENTRY_ADVICE_H_
