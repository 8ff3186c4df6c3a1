#ifndef TOUCANWHARF_ADMISSION_SHARES_H_
#define TOUCANWHARF_ADMISSION_SHARES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "toucanwharf/support/clock.h"

/// \file
/// Weighted shares per customer by start-time fair queueing, which also charges
/// what other instances served (distributed start-time fair queueing).
///
/// Load: a few customers send many times their share. In order of arrival
/// everyone waits for their backlog; with shares per instance alone, a customer
/// that spreads over six instances gets six shares. Shares are work-conserving:
/// a customer alone gets all capacity.
namespace toucanwharf::admission {

/// Dense number of a customer within one process.
enum class CustomerNumber : std::uint32_t {};

/// Tokens served to each customer by one instance since it started. Totals
/// rather than differences, so that a lost or duplicated message changes
/// nothing.
struct Usage {
  std::map<std::string, double> served;

  friend bool operator==(const Usage&, const Usage&) = default;
};

/// Thresholds of the shares.
struct SharesSettings {
  /// Maximum debt of a customer from what other instances served, in tokens per
  /// unit of weight. Bounds how long a customer waits here after a burst
  /// elsewhere: about two seconds at 2,000 tokens per second.
  double max_debt = 4000;
  /// Unused share that a customer may save up, in tokens per unit of weight:
  /// about ten common answers. Without any, a customer that evenly uses nine
  /// tenths of its share over a minute waits whenever three of its requests
  /// coincide, once another customer fills the rest of the pool.
  double credit = 6000;
  /// Time without a report of a peer after which its last rates are charged
  /// instead. Three gossip periods; with less a lost message would count as an
  /// unresponsive peer.
  Duration peer_timeout = std::chrono::seconds(3);
  /// Maximum time for which an unresponsive peer is charged. After it, the peer
  /// is dead or its failure domain is cut off, so that it doesn't serve from
  /// this pool.
  Duration max_charge_time = std::chrono::seconds(60);
};

/// Virtual time of each customer.
/// Thread safety: none; for one thread.
class Shares {
 public:
  explicit Shares(const SharesSettings& chosen = {}) : settings(chosen) {}

  /// Returns the number of \p customer, a new one if it is unknown.
  CustomerNumber NumberOf(std::string_view customer);

  const std::string& NameOf(CustomerNumber customer) const;

  /// Sets the weight. Precondition: \p weight > 0.
  void SetWeight(CustomerNumber customer, double weight);

  double WeightOf(CustomerNumber customer) const;

  /// Records that \p customer has queued work from now on. A customer that was
  /// idle starts at most its credit before the current virtual time: if all
  /// unused share were saved up, an idle night would let it take everything in
  /// the morning.
  void Activate(CustomerNumber customer);

  /// Records that \p customer has no queued work any more.
  void Deactivate(CustomerNumber customer);

  /// Returns the customers with queued work, the next to serve first.
  const std::set<std::pair<double, CustomerNumber>>& Turns() const {
    return this->turns;
  }

  /// Charges \p customer for work of \p cost tokens that was dispatched.
  void Charge(CustomerNumber customer, double cost);

  /// Corrects an earlier charge by \p difference tokens of either sign.
  void Correct(CustomerNumber customer, double difference);

  /// Returns the total weight of the customers with queued work.
  double ActiveWeight() const { return this->active_weight; }

  /// Returns what this instance served, for gossip. The totals never decrease,
  /// though corrections may revert part of a charge: peers would take a lower
  /// total for a restart and charge all of it again.
  Usage Served() const;

  /// Merges the totals that \p peer served; charges the difference to its last
  /// report.
  void MergePeerUsage(TimePoint now, const std::string& peer,
                      const Usage& usage);

  /// Charges for unresponsive peers. To be called a few times a second.
  void Tick(TimePoint now);

  /// Returns the fraction of the pool that this instance's customers are
  /// entitled to, 0 to 1. Each customer counts with its use, at most the mean
  /// use by weight, and here with the fraction of it that this instance serves.
  /// Unresponsive peers count with their last rates. Nothing while no use is
  /// known.
  ///
  /// Without it every instance claims an equal fraction of each endpoint: if an
  /// instance serves only a customer far over its share, its fraction is taken
  /// from the small customers of another instance.
  std::optional<double> PoolShare() const;

  /// Returns how many peers have reported their use.
  std::size_t PeerCount() const { return this->peers.size(); }

  /// Forgets \p peer, which has departed.
  void Forget(const std::string& peer);

 private:
  struct Entry {
    std::string name;
    double weight = 1.0;
    double tag = 0;
    double served = 0;
    /// Highest value of `served` so far; see Served().
    double total = 0;
    double rated_total = 0;
    double tokens_per_second = 0;
    bool active = false;
  };
  struct PeerUsage {
    double served = 0;
    double tokens_per_second = 0;
  };
  struct Peer {
    TimePoint last_report;
    TimePoint charged_until;
    bool has_reported = false;
    std::unordered_map<std::string, PeerUsage> customers;
  };

  Entry& At(CustomerNumber customer);
  const Entry& At(CustomerNumber customer) const;
  void SetTag(CustomerNumber customer, double tag);
  void UpdateLocalRates(TimePoint now);
  std::vector<double> RemoteRates() const;
  void ChargeRemote(const std::string& customer, double tokens);

  SharesSettings settings;
  std::unordered_map<std::string, CustomerNumber> numbers;
  std::vector<Entry> entries;
  std::set<std::pair<double, CustomerNumber>> turns;
  std::map<std::string, Peer> peers;
  TimePoint last_rating;
  double virtual_time = 0;
  double active_weight = 0;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_SHARES_H_
