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
/// Which entry instances a caller is told to use. No balancer stands in front
/// of the system: this advice is the only one.
///
/// Pattern of load: a few customers send most of the traffic, and a whole
/// failure domain may go. Without a spread by customer a large one overloads
/// the few instances it happened to get; without jitter all callers come back
/// for new advice in the same second; and an instance that stops while old
/// advice still names it refuses callers who did nothing wrong (I6).
namespace toucanwharf::routing {

/// An entry instance, as membership knows it.
struct EntryInstance {
  std::string id;
  std::string address;
  std::string failure_domain;
  bool leaving = false;
  /// Share of its capacity in use, from 0 up.
  double load = 0;

  friend bool operator==(const EntryInstance&, const EntryInstance&) = default;
};

/// What a caller gets: addresses, the first to be used first, and for how
/// long.
struct Advice {
  std::vector<std::string> addresses;
  Duration time_to_live{0};

  friend bool operator==(const Advice&, const Advice&) = default;
};

/// How the advice is made.
struct AdviceSettings {
  /// Mean time to live. Half a minute: an instance that died costs a caller
  /// one failed connect at most that long, and 10,000 callers ask 333 times a
  /// second.
  Duration time_to_live = std::chrono::seconds(30);
  /// The time to live varies by this part up and down, so that callers that
  /// came in one burst don't come back in one.
  double jitter = 0.2;
  /// Addresses for a small customer: one for each of three failure domains,
  /// so that the loss of a domain leaves it two.
  std::size_t small_spread = 3;
  /// A customer is large when its share of all traffic exceeds half of one
  /// instance's part: two such on one instance would fill it.
  double large_part = 0.5;
  /// Time until all instances have heard that one leaves (membership).
  Duration spread_time = std::chrono::seconds(3);
  /// For callers whose clock or connect is late.
  Duration margin = std::chrono::seconds(2);
};

/// Makes the advice and knows how long it lives on.
/// Thread safety: none; for one thread.
class EntryAdvisor {
 public:
  explicit EntryAdvisor(const AdviceSettings& chosen = {}) : settings(chosen) {}

  /// Returns the advice for \p customer, which sends \p traffic_share of all
  /// traffic (0 to 1). Leaving instances are left out at once, unless all
  /// leave. Empty only when \p instances is.
  Advice For(std::string_view customer, double traffic_share,
             std::span<const EntryInstance> instances, Random& random) const;

  /// Returns until when an instance must accept new connections after it
  /// announced at \p announced that it leaves: others may name it until they
  /// have heard, and what they gave out then lives its full time.
  TimePoint ServeUntil(TimePoint announced) const;

 private:
  Duration JitteredTimeToLive(Random& random) const;

  AdviceSettings settings;
};

}  // namespace toucanwharf::routing

#endif  // TOUCANWHARF_ROUTING_ENTRY_ADVICE_H_
