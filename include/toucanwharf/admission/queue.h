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
/// Queue of requests that wait for an endpoint. Customers are served by their
/// shares, within a customer short and long work alternate, and within each
/// class the earliest deadline goes first.
///
/// Load: more requests arrive than can be served, and long work among short. In
/// order of arrival everyone waits for the largest customer, a short question
/// waits for the report before it, and under lasting overload every answer is
/// late. A request that can't be served in time is refused immediately, while
/// its caller can still go elsewhere; refusing it after a wait costs the caller
/// the wait as well.
namespace toucanwharf::admission {

/// One queued request.
struct Ticket {
  std::string id;
  CustomerNumber customer{};
  /// Cost in tokens, by the cost model.
  double cost = 0;
  TimePoint arrived;
  /// Latest time at which the first token is of use.
  TimePoint deadline;
  /// Minimum time from the dispatch to the first token.
  Duration min_service_time{0};

  friend bool operator==(const Ticket&, const Ticket&) = default;
};

/// Measures the rate at which the queue drains while it isn't empty.
/// Thread safety: none; for one thread.
class DrainMeter {
 public:
  /// Sets the rate to assume before the first measurement, in tokens per
  /// second. No effect after that.
  void SetInitialRate(double tokens_per_second);

  /// Records at \p now whether the queue is not empty from then on.
  void SetWaiting(TimePoint now, bool waiting);

  /// Records that \p cost tokens were taken from the queue.
  void RecordTaken(TimePoint now, double cost);

  /// Returns the rate in tokens per second; 0 if unknown or stalled.
  double Rate(TimePoint now) const;

  /// Returns whether the rate is known.
  bool HasRate() const { return this->has_rate; }

 private:
  void Advance(TimePoint now);

  bool has_rate = false;
  bool measured = false;
  bool waiting = false;
  double rate = 0;
  double taken = 0;
  Duration busy{0};
  TimePoint last;
};

/// Thresholds of the queue.
struct QueueSettings {
  /// Minimum cost of long work. 400 tokens are about 10 s of an answer at 25 ms
  /// per token; questions and summaries stay below it.
  double long_cost = 400;
  /// Customers whose virtual times differ by at most this many tokens count as
  /// equal, and the earliest deadline of them is served: about two common
  /// answers, so that no share is off by more than that.
  double turn_slack = 100;
  /// Maximum wait, regardless of the deadline: a longer queue adds only
  /// waiting, not throughput.
  Duration max_wait = std::chrono::seconds(10);
  /// Part of the wait that is reserved for delays at the endpoint: other
  /// routers' work that no report shows yet, for one report interval.
  Duration dispatch_reserve = std::chrono::milliseconds(250);
};

/// The queued requests of one pool of endpoints.
/// Thread safety: none; for one thread.
class FairQueue {
 public:
  explicit FairQueue(const QueueSettings& chosen = {}) : settings(chosen) {}

  /// Returns the shares, for weights and gossip.
  Shares& SharesOf() { return this->shares; }

  DrainMeter& Drain() { return this->drain; }

  /// Returns the expected wait of a request of \p customer and \p cost: its
  /// customer's backlog at its share of the drain rate, or the whole backlog at
  /// the whole rate, whichever is less. Nothing if the rate is unknown.
  std::optional<Duration> ExpectedWait(TimePoint now, CustomerNumber customer,
                                       double cost) const;

  /// Returns the maximum wait after which \p ticket is still of use.
  Duration AllowedWait(TimePoint now, const Ticket& ticket) const;

  /// Adds \p ticket. Precondition: its id isn't in the queue.
  void Push(TimePoint now, const Ticket& ticket);

  /// Returns the next ticket to serve, or null. Valid until the next call that
  /// isn't const.
  const Ticket* Front() const;

  /// Removes ticket \p id as served and charges its customer. Precondition: it
  /// is in the queue.
  Ticket Take(TimePoint now, const std::string& id);

  /// Removes ticket \p id without a charge, as its caller disconnected. Returns
  /// whether it was queued.
  bool Drop(TimePoint now, const std::string& id);

  /// Removes and returns all tickets that can no longer be served in time.
  std::vector<Ticket> TakeExpired(TimePoint now);

  std::size_t size() const { return this->tickets.size(); }

  /// Returns the total cost of the queued requests.
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
