#ifndef TOUCANWHARF_ADMISSION_QUEUE_H_
#define TOUCANWHARF_ADMISSION_QUEUE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "toucanwharf/admission/shares.h"
#include "toucanwharf/support/clock.h"

/// \file
/// Requests that wait for an endpoint: customers by their shares, within a
/// customer short and long work by turns, within each the earliest deadline
/// first.
///
/// Pattern of load: more comes in than can be served, and long work among
/// short. In arrival order everyone waits for the largest customer, a short
/// question waits for the report before it, and under lasting overload every
/// answer is late. A request whose turn can't come in time is refused at once,
/// while its caller can still go elsewhere; waiting first and refusing later
/// costs the caller the wait as well.
namespace toucanwharf::admission {

/// One waiting request.
struct Ticket {
  std::string id;
  CustomerNumber customer{};
  /// In tokens, by the cost model.
  double cost = 0;
  TimePoint arrived;
  /// Latest point at which the first token is of use.
  TimePoint deadline;
  /// Least time from the handover to the first token.
  Duration least_service{0};

  friend bool operator==(const Ticket&, const Ticket&) = default;
};

/// Speed at which the queue empties while something waits.
/// Thread safety: none; for one thread.
class DrainMeter {
 public:
  /// Sets the speed to assume before anything was measured, tokens a second.
  /// Without effect after that.
  void SetFirstGuess(double tokens_per_second);

  /// Notes at \p now whether something waits from here on.
  void Waiting(TimePoint now, bool waiting);

  /// Notes \p cost tokens taken from the queue.
  void Took(TimePoint now, double cost);

  /// Returns tokens a second; 0 when nothing is known or nothing moves.
  double Rate(TimePoint now) const;

  /// Returns whether anything was measured or guessed yet.
  bool Known() const { return this->known; }

 private:
  void Advance(TimePoint now);

  bool known = false;
  bool measured = false;
  bool waiting = false;
  double rate = 0;
  double taken = 0;
  Duration busy{0};
  TimePoint last;
};

/// Thresholds, with the reason of each.
struct QueueSettings {
  /// From this cost on work is long. 400 tokens are about 10 s of an answer at
  /// 25 ms a token; questions and summaries stay below it.
  double long_cost = 400;
  /// Customers whose turns are at most this many tokens apart count as equal,
  /// and the earliest deadline of them is taken: about two common answers, so
  /// that no share is off by more than that.
  double turn_slack = 100;
  /// Longest wait, whatever the deadline: a queue longer than this only adds
  /// waiting, not throughput.
  Duration longest_wait = std::chrono::seconds(10);
  /// Kept back from the wait for what may still delay a request at the
  /// endpoint: other routers' work that no report shows yet, a report interval
  /// long.
  Duration handover = std::chrono::milliseconds(250);
};

/// The waiting requests of one pool of endpoints.
/// Thread safety: none; for one thread.
class FairQueue {
 public:
  explicit FairQueue(const QueueSettings& chosen = {}) : settings(chosen) {}

  /// Returns the shares, for weights and gossip.
  Shares& SharesOf() { return this->shares; }

  /// Returns the drain meter.
  DrainMeter& Drain() { return this->drain; }

  /// Returns how long a request of \p customer and \p cost would wait: its
  /// customer's backlog at its share of the drain rate, or the whole backlog
  /// at the whole rate, whichever is less. Nothing when no speed is known.
  std::optional<Duration> ExpectedWait(TimePoint now, CustomerNumber customer,
                                       double cost) const;

  /// Returns the longest wait that lets \p ticket be of use.
  Duration AllowedWait(TimePoint now, const Ticket& ticket) const;

  /// Adds \p ticket. Precondition: its id isn't in the queue.
  void Push(TimePoint now, const Ticket& ticket);

  /// Returns the ticket whose turn it is, or null. Valid until the next call
  /// that isn't const.
  const Ticket* Front() const;

  /// Takes out ticket \p id as served and charges its customer.
  /// Precondition: it is in the queue.
  Ticket Take(TimePoint now, const std::string& id);

  /// Takes out ticket \p id without a charge: its caller left. Returns whether
  /// it was there.
  bool Drop(TimePoint now, const std::string& id);

  /// Takes out all that can't be answered in time any more.
  std::vector<Ticket> TakeLapsed(TimePoint now);

  /// Returns how many wait.
  std::size_t size() const { return this->tickets.size(); }

  /// Returns the cost of all that wait.
  double Backlog() const { return this->backlog; }

 private:
  enum Class : std::size_t { kShort, kLong, kClasses };
  using ByDeadline = std::set<std::pair<TimePoint, std::string>>;
  struct Lane {
    ByDeadline order;
    double cost = 0;
    double served = 0;
  };
  using Lanes = std::array<Lane, kClasses>;

  Class ClassOf(double cost) const;
  const Lanes* LanesOf(CustomerNumber customer) const;
  static const Lane& NextLane(const Lanes& lanes);
  const Ticket& HeadOf(CustomerNumber customer) const;
  Ticket Remove(TimePoint now, const std::string& id);
  TimePoint LatestStart(const Ticket& ticket) const;

  QueueSettings settings;
  Shares shares;
  DrainMeter drain;
  std::unordered_map<std::string, Ticket> tickets;
  std::vector<Lanes> lanes;
  ByDeadline by_latest_start;
  double backlog = 0;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_QUEUE_H_
