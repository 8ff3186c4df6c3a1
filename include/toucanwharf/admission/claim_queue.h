#ifndef TOUCANWHARF_ADMISSION_CLAIM_QUEUE_H_
#define TOUCANWHARF_ADMISSION_CLAIM_QUEUE_H_

#include <array>
#include <concepts>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "toucanwharf/admission/claim.h"
#include "toucanwharf/admission/queue.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::admission {

/// A request that waits for capacity.
struct QueuedClaim {
  /// Unique in its queue.
  std::string id;
  Claim claim;

  friend bool operator==(const QueuedClaim&, const QueuedClaim&) = default;
};

/// What waits of one rank.
struct RankBacklog {
  std::size_t requests = 0;
  /// Prompt and output tokens.
  double tokens = 0;

  friend bool operator==(const RankBacklog&, const RankBacklog&) = default;
};

/// Thresholds of ClaimQueue.
struct ClaimQueueSettings {
  /// The first event takes about as long after the send.
  Duration first_event_reserve = std::chrono::milliseconds(200);
  /// Part of what is served beside more urgent ranks that a rank with waiters
  /// gets at least.
  double min_share = 0.02;
  /// How long the first in the order keeps others from passing it.
  Duration max_blocking = std::chrono::milliseconds(100);
  /// The drain rate counts as known after this many requests since the queue
  /// was last empty: that of fewer is chance.
  int min_served = 5;
  /// Whether rank, customer and time limit count; otherwise the order is that
  /// of arrival.
  bool ordered = true;

  friend bool operator==(const ClaimQueueSettings&,
                         const ClaimQueueSettings&) = default;
};

/// Requests that wait for capacity of one service: the most urgent rank first;
/// within it those that can still be on time, then the others; among them fair
/// between customers, and the earliest limit first.
///
/// Load: for some seconds more requests arrive than can be served. In order of
/// arrival the kind that may wait longest gets the capacity, whatever its rank,
/// and a customer with many requests takes the place of all others.
/// Thread safety: none; for one thread.
class ClaimQueue {
 public:
  explicit ClaimQueue(const ClaimQueueSettings& chosen = {})
      : settings(chosen) {}

  /// Adds \p entry. Precondition: its id isn't in the queue.
  void Push(TimePoint now, const QueuedClaim& entry);
  /// Moves requests that can't be on time any more behind those that can. To be
  /// called before a round of Front.
  void Advance(TimePoint now);
  /// Returns the next request to serve among the ranks for which \p may_claim
  /// is true, or nothing.
  template <std::predicate<int> MayClaim>
  std::optional<QueuedClaim> Front(const MayClaim& may_claim) const {
    std::optional<QueuedClaim> first;
    for (const auto& [rank, order] : this->ranks) {
      if (!may_claim(rank)) continue;
      const auto head = this->HeadOf(order);
      if (!head) continue;
      if (!first) {
        first = head;
        continue;
      }
      // A rank that has waited for its part goes before more urgent ones.
      if (order.owed >= head->claim.Cost()) return head;
    }
    return first;
  }
  /// Returns the request to try after \p id, for which there is no capacity
  /// although it is Front. Nothing while the queue has not been blocked for
  /// long: a long answer would otherwise never be placed. After that a more
  /// urgent request goes first if \p id is only owed its turn, which is lost,
  /// else a smaller one; the next time counts from when that is served.
  /// Precondition: \p id is in the queue.
  std::optional<QueuedClaim> PassBlocked(TimePoint now, const std::string& id);
  /// Removes request \p id as served. Precondition: it is in the queue.
  void Take(TimePoint now, const std::string& id);
  /// Removes request \p id without a charge. Returns whether it was queued.
  bool Drop(TimePoint now, const std::string& id);
  /// Removes and returns the requests that can't be served any more while that
  /// is of use to their callers, the least urgent first.
  std::vector<QueuedClaim> TakeUnservable(TimePoint now);
  /// Removes and returns the requests that can't be on time any more. For an
  /// instance that stops: answers that begin later may be cut.
  std::vector<QueuedClaim> TakeLate(TimePoint now);

  /// Returns the expected wait of \p claim: what goes before it at the rate at
  /// which the queue drains. Nothing while that isn't known.
  std::optional<Duration> ExpectedWait(TimePoint now, const Claim& claim) const;
  /// Returns the number of queued requests that go before \p claim.
  std::size_t CountAhead(TimePoint now, const Claim& claim) const;
  /// Returns what waits, by rank.
  std::array<RankBacklog, kRanks> Backlog() const;
  /// Returns the drain rate in tokens of cost per second; 0 if unknown.
  double DrainRate(TimePoint now) const {
    const bool known = this->drain.HasRate() &&
                       this->served_in_sequence >= this->settings.min_served;
    return known ? this->drain.Rate(now) : 0;
  }

  bool empty() const { return this->entries.empty(); }
  std::size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    Claim claim;
    bool late = false;
  };
  /// The requests of one rank.
  struct Rank {
    FairQueue on_time;
    FairQueue late;
    /// ClaimQueueSettings::min_share of the cost that was served to more urgent
    /// ranks while it had requests, less what was served to it.
    double owed = 0;
  };

  /// Cost of what goes before a request.
  struct Ahead {
    double upper_ranks = 0;
    /// Of its rank, if they can be on time and it can't.
    double on_time = 0;
    /// Of its rank that can be on time if it can, by customer.
    std::map<std::string, double> by_customer;

    /// Returns the cost of what goes before \p claim in its rank. Another
    /// customer goes before it with as much as its own customer at most.
    double InRank(const Claim& claim) const;
  };

  std::optional<QueuedClaim> HeadOf(const Rank& order) const;
  FairQueue& QueueOf(const Entry& entry);
  static Ticket MakeTicket(FairQueue& queue, const std::string& id,
                           const Entry& entry, bool ordered);
  /// Returns the time by which requests of a customer are ordered.
  static TimePoint LimitOf(const Entry& entry);
  /// Returns whether \p other goes before \p entry, apart from the shares of
  /// customers.
  bool GoesBefore(const Entry& other, const Entry& entry) const;
  /// Returns \p claim as it would be queued at \p now.
  Entry MakeEntry(TimePoint now, const Claim& claim) const;
  bool CanBeOnTime(const Claim& claim, TimePoint now) const;
  /// Returns the wait of \p claim behind \p ahead. Nothing while the rate is
  /// unknown.
  std::optional<Duration> WaitBehind(TimePoint now, const Ahead& ahead,
                                     const Claim& claim) const;
  /// Returns the rank of \p claim, 0 for all if the order is that of arrival.
  int RankOf(const Claim& claim) const {
    return this->settings.ordered ? claim.rank : 0;
  }
  /// Returns whether waiting for \p expected is of no use to \p claim.
  bool IsUnservable(const Claim& claim, const std::optional<Duration>& expected,
                    TimePoint now) const;
  void Remove(TimePoint now, const std::string& id);
  /// Returns the first request in the order that is much smaller than \p claim.
  std::optional<QueuedClaim> FirstSmaller(const Claim& claim) const;

  ClaimQueueSettings settings;
  std::map<std::string, Entry> entries;
  std::map<int, Rank> ranks;
  DrainMeter drain;
  /// Requests served since the queue was last empty.
  int served_in_sequence = 0;
  /// When the last request was served, or the first one queued.
  TimePoint progress_at;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_CLAIM_QUEUE_H_
