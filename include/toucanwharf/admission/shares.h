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
/// Whose turn it is: weighted shares per customer by start-time fair queueing,
/// charged also for what other instances served (distributed start-time fair
/// queueing).
///
/// Pattern of load: a few customers send many times their share. In arrival
/// order their backlog is everyone's wait; with shares per instance alone, a
/// customer that spreads over six instances gets six shares. Shares are
/// work-conserving: a customer alone gets everything.
namespace toucanwharf::admission {

/// Dense number of a customer inside one process.
enum class CustomerNumber : std::uint32_t {};

/// Tokens served to each customer by one instance since it started. A total
/// and not a difference, so that a lost or doubled message changes nothing.
struct Usage {
  std::map<std::string, double> served;

  friend bool operator==(const Usage&, const Usage&) = default;
};

/// Thresholds, with the reason of each.
struct SharesSettings {
  /// Most a customer can fall behind by what other instances served, in
  /// tokens per unit of weight. Bounds how long a customer waits here after a
  /// burst elsewhere: at 2,000 tokens a second about two seconds.
  double max_debt = 4000;
  /// Share that a customer may save up while it uses less, in tokens per unit
  /// of weight: about ten common answers. Without any, a customer that uses
  /// nine tenths of its share evenly over a minute waits whenever three of its
  /// requests meet, as soon as another fills the rest of the pool.
  double credit = 6000;
  /// After this long without word of a peer its last rates are charged on:
  /// three gossip periods; less would take a lost message for silence.
  Duration silence = std::chrono::seconds(3);
  /// A silent peer is charged for this long and no longer. After it, it is
  /// dead or its failure domain is cut off, and then it doesn't serve from
  /// this pool.
  Duration charge_on = std::chrono::seconds(60);
};

/// Virtual time of each customer.
/// Thread safety: none; for one thread.
class Shares {
 public:
  explicit Shares(const SharesSettings& chosen = {}) : settings(chosen) {}

  /// Returns the number of \p customer, a new one if it wasn't seen before.
  CustomerNumber NumberOf(std::string_view customer);

  /// Returns the name of \p customer.
  const std::string& NameOf(CustomerNumber customer) const;

  /// Sets the weight. Precondition: \p weight > 0.
  void SetWeight(CustomerNumber customer, double weight);

  /// Returns the weight.
  double WeightOf(CustomerNumber customer) const;

  /// Notes that \p customer has work waiting from now on. A customer that was
  /// idle starts at most its credit before the current virtual time: were all
  /// unused share saved up, a night's silence would let it take everything in
  /// the morning.
  void Activate(CustomerNumber customer);

  /// Notes that no work of \p customer waits any more.
  void Deactivate(CustomerNumber customer);

  /// Returns the waiting customers in the order of their turns.
  const std::set<std::pair<double, CustomerNumber>>& Turns() const {
    return this->turns;
  }

  /// Charges \p customer for work of \p cost tokens that was taken.
  void Charge(CustomerNumber customer, double cost);

  /// Corrects an earlier charge by \p difference tokens, either sign.
  void Correct(CustomerNumber customer, double difference);

  /// Returns the sum of the weights of all waiting customers.
  double ActiveWeight() const { return this->active_weight; }

  /// Returns what this instance served, for gossip. The totals never fall,
  /// though corrections may take some of a charge back: a falling total reads
  /// as a restart, and the peers would charge all of it anew.
  Usage Served() const;

  /// Takes in what \p peer served. Charges the difference to its last word.
  void MergePeerUsage(TimePoint now, const std::string& peer,
                      const Usage& usage);

  /// Charges for peers that have fallen silent. To be called a few times a
  /// second.
  void Tick(TimePoint now);

  /// Returns the part of the pool that this instance's customers are entitled
  /// to, 0 to 1. Each customer counts with what it uses, at most the mean use
  /// by weight, and here with the part of it that this instance serves. Peers
  /// that can't be heard count with their last rates. Nothing while no use is
  /// known.
  ///
  /// Without it every instance claims the same part of each endpoint: where a
  /// customer far over its share is all that an instance has, that part is
  /// taken from the small customers of another instance.
  std::optional<double> PartOfPool() const;

  /// Returns from how many peers use was heard.
  std::size_t PeerCount() const { return this->peers.size(); }

  /// Forgets \p peer, which is known to be gone.
  void Forget(const std::string& peer);

 private:
  struct Entry {
    std::string name;
    double weight = 1.0;
    double tag = 0;
    double served = 0;
    /// Highest value of `served` so far; see Served().
    double total = 0;
    double rated = 0;
    double tokens_per_second = 0;
    bool active = false;
  };
  struct PeerUsage {
    double served = 0;
    double tokens_per_second = 0;
  };
  struct Peer {
    TimePoint heard;
    TimePoint charged;
    bool known = false;
    std::unordered_map<std::string, PeerUsage> customers;
  };

  Entry& At(CustomerNumber customer);
  const Entry& At(CustomerNumber customer) const;
  void Move(CustomerNumber customer, double tag);
  void RateOwn(TimePoint now);
  std::vector<double> RemoteRates() const;
  void ChargeRemote(const std::string& customer, double tokens);

  SharesSettings settings;
  std::unordered_map<std::string, CustomerNumber> numbers;
  std::vector<Entry> entries;
  std::set<std::pair<double, CustomerNumber>> turns;
  std::map<std::string, Peer> peers;
  TimePoint rated_at;
  double virtual_time = 0;
  double active_weight = 0;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_SHARES_H_
