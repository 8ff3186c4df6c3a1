#include "toucanwharf/admission/claim_queue.h"

#include <algorithm>
#include <cassert>

namespace toucanwharf::admission {
namespace {

/// Requests that passed the first one must be this much smaller, or they would
/// take the capacity that it waits for.
constexpr double kSmallerShare = 0.5;
/// Least part that a rank may save up, in tokens of cost, unless its next
/// request costs more: some common answers.
constexpr double kMaxOwed = 1000;
/// Upper bound of any expected wait.
constexpr double kMaxExpectedSeconds = 3600;

double TokensOf(const Claim& claim) {
  return claim.prompt_tokens + claim.output_tokens;
}

}  // namespace

bool ClaimQueue::CanBeOnTime(const Claim& claim, TimePoint now) const {
  return now <= claim.on_time_until - this->settings.first_event_reserve;
}

FairQueue& ClaimQueue::QueueOf(const Entry& entry) {
  Rank& rank = this->ranks[this->settings.ordered ? entry.claim.rank : 0];
  return entry.late ? rank.late : rank.on_time;
}

Ticket ClaimQueue::MakeTicket(FairQueue& queue, const std::string& id,
                              const Entry& entry, bool ordered) {
  const Claim& claim = entry.claim;
  Ticket ticket;
  ticket.id = id;
  ticket.customer = queue.SharesOf().NumberOf(ordered ? claim.customer : "");
  // Equal costs keep long and short work in one order.
  ticket.cost = ordered ? claim.Cost() : 1;
  ticket.arrived = claim.arrived;
  ticket.deadline = ordered ? LimitOf(entry) : claim.arrived;
  return ticket;
}

TimePoint ClaimQueue::LimitOf(const Entry& entry) {
  if (!entry.late) return entry.claim.on_time_until;
  // A second refusal costs a caller more than a first one.
  return entry.claim.returned ? entry.claim.arrived : entry.claim.useful_until;
}

ClaimQueue::Entry ClaimQueue::MakeEntry(TimePoint now,
                                        const Claim& claim) const {
  Entry entry{claim, false};
  entry.claim.rank = std::clamp(entry.claim.rank, 0, kRanks - 1);
  entry.late = this->settings.ordered && !this->CanBeOnTime(entry.claim, now);
  return entry;
}

void ClaimQueue::Push(TimePoint now, const QueuedClaim& queued) {
  assert(!this->entries.contains(queued.id) && "request is already queued");
  Entry entry = this->MakeEntry(now, queued.claim);
  if (this->entries.empty()) this->progress_at = now;
  FairQueue& queue = this->QueueOf(entry);
  queue.Push(now, MakeTicket(queue, queued.id, entry, this->settings.ordered));
  this->entries.emplace(queued.id, std::move(entry));
  this->drain.SetWaiting(now, true);
}

void ClaimQueue::Advance(TimePoint now) {
  if (!this->settings.ordered) return;
  for (auto& [id, entry] : this->entries) {
    if (entry.late || this->CanBeOnTime(entry.claim, now)) continue;
    this->QueueOf(entry).Drop(now, id);
    entry.late = true;
    FairQueue& queue = this->QueueOf(entry);
    queue.Push(now, MakeTicket(queue, id, entry, true));
  }
}

std::optional<QueuedClaim> ClaimQueue::HeadOf(const Rank& order) const {
  const Ticket* head = order.on_time.Front();
  if (head == nullptr) head = order.late.Front();
  if (head == nullptr) return std::nullopt;
  return QueuedClaim{head->id, this->entries.at(head->id).claim};
}

std::optional<QueuedClaim> ClaimQueue::PassBlocked(TimePoint now,
                                                   const std::string& id) {
  const bool blocks = now - this->progress_at < this->settings.max_blocking;
  if (!this->settings.ordered || blocks) return std::nullopt;
  const Claim& first = this->entries.at(id).claim;
  for (const auto& [rank, order] : this->ranks) {
    if (rank >= first.rank) break;
    const auto urgent = this->HeadOf(order);
    if (!urgent) continue;
    this->ranks.at(first.rank).owed = 0;
    return urgent;
  }
  return this->FirstSmaller(first);
}

std::optional<QueuedClaim> ClaimQueue::FirstSmaller(const Claim& claim) const {
  const std::pair<const std::string, Entry>* best = nullptr;
  for (const auto& other : this->entries) {
    const bool smaller =
        TokensOf(other.second.claim) < kSmallerShare * TokensOf(claim);
    if (!smaller) continue;
    if (best != nullptr && !this->GoesBefore(other.second, best->second)) {
      continue;
    }
    best = &other;
  }
  if (best == nullptr) return std::nullopt;
  return QueuedClaim{best->first, best->second.claim};
}

void ClaimQueue::Take(TimePoint now, const std::string& id) {
  const auto found = this->entries.find(id);
  assert(found != this->entries.end() && "request is not queued");
  const double cost = found->second.claim.Cost();
  const int rank = this->settings.ordered ? found->second.claim.rank : 0;
  this->QueueOf(found->second).Take(now, id);
  for (auto& [other, order] : this->ranks) {
    if (other == rank) order.owed = std::max(0.0, order.owed - cost);
    const auto head = this->HeadOf(order);
    if (other > rank && head) {
      order.owed = std::min(std::max(kMaxOwed, head->claim.Cost()),
                            order.owed + cost * this->settings.min_share);
    }
  }
  this->drain.RecordTaken(now, cost);
  ++this->served_in_sequence;
  this->progress_at = now;
  this->Remove(now, id);
}

bool ClaimQueue::Drop(TimePoint now, const std::string& id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return false;
  this->QueueOf(found->second).Drop(now, id);
  this->Remove(now, id);
  return true;
}

void ClaimQueue::Remove(TimePoint now, const std::string& id) {
  this->entries.erase(id);
  this->drain.SetWaiting(now, !this->entries.empty());
  if (this->entries.empty()) this->served_in_sequence = 0;
}

bool ClaimQueue::GoesBefore(const Entry& other, const Entry& entry) const {
  if (!this->settings.ordered) return other.claim.arrived < entry.claim.arrived;
  if (other.claim.rank != entry.claim.rank) {
    return other.claim.rank < entry.claim.rank;
  }
  if (other.late != entry.late) return entry.late;
  return LimitOf(other) < LimitOf(entry);
}

std::size_t ClaimQueue::CountAhead(TimePoint now, const Claim& claim) const {
  const Entry added = this->MakeEntry(now, claim);
  const auto ahead = std::count_if(
      this->entries.begin(), this->entries.end(),
      [&](const auto& entry) { return this->GoesBefore(entry.second, added); });
  return static_cast<std::size_t>(ahead);
}

double ClaimQueue::Ahead::InRank(const Claim& claim) const {
  const auto own = this->by_customer.find(claim.customer);
  const double own_cost = own == this->by_customer.end() ? 0 : own->second;
  double sum = this->on_time + own_cost;
  for (const auto& [customer, cost] : this->by_customer) {
    if (customer == claim.customer) continue;
    sum += std::min(cost, own_cost + claim.Cost());
  }
  return sum;
}

std::optional<Duration> ClaimQueue::ExpectedWait(TimePoint now,
                                                 const Claim& claim) const {
  const Entry added = this->MakeEntry(now, claim);
  Ahead ahead;
  for (const auto& [id, entry] : this->entries) {
    if (!this->GoesBefore(entry, added)) continue;
    const double cost = entry.claim.Cost();
    if (this->RankOf(entry.claim) != this->RankOf(added.claim)) {
      ahead.upper_ranks += cost;
    } else if (entry.late != added.late) {
      ahead.on_time += cost;
    } else {
      ahead.by_customer[entry.claim.customer] += cost;
    }
  }
  return this->WaitBehind(now, ahead, added.claim);
}

std::optional<Duration> ClaimQueue::WaitBehind(TimePoint now,
                                               const Ahead& ahead,
                                               const Claim& claim) const {
  const double in_rank = ahead.InRank(claim);
  const double all = ahead.upper_ranks + in_rank;
  if (all == 0) return Duration(0);
  const double rate = this->DrainRate(now);
  // A queue that hasn't moved yet says nothing about when it will.
  if (rate <= 0) return std::nullopt;
  // At the latest the rank's least part suffices.
  const double by_least_part =
      (in_rank + claim.Cost()) / (rate * this->settings.min_share);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::min({all / rate, by_least_part, kMaxExpectedSeconds})));
}

bool ClaimQueue::IsUnservable(const Claim& claim,
                              const std::optional<Duration>& expected,
                              TimePoint now) const {
  const Duration reserve = this->settings.first_event_reserve;
  const TimePoint last = claim.useful_until - reserve;
  if (now >= last) return true;
  if (expected && now + *expected >= last) return true;
  // A second refusal is the exception: who came back waits while it may help.
  if (this->CanBeOnTime(claim, now) || claim.returned) return false;
  const bool is_draining = this->DrainRate(now) > 0;
  return !this->settings.ordered || !is_draining;
}

std::vector<QueuedClaim> ClaimQueue::TakeUnservable(TimePoint now) {
  std::vector<const std::pair<const std::string, Entry>*> in_order;
  for (const auto& entry : this->entries) in_order.push_back(&entry);
  std::sort(in_order.begin(), in_order.end(),
            [this](const auto* left, const auto* right) {
              return this->GoesBefore(left->second, right->second);
            });
  std::vector<QueuedClaim> unservable;
  Ahead ahead;
  double in_rank = 0;
  const Entry* previous = nullptr;
  for (const auto* queued : in_order) {
    const Entry& entry = queued->second;
    const Claim& claim = entry.claim;
    const bool new_rank = previous != nullptr &&
                          this->RankOf(claim) != this->RankOf(previous->claim);
    const bool new_lateness =
        previous != nullptr && entry.late != previous->late;
    previous = &entry;
    if (new_rank) {
      ahead = Ahead{ahead.upper_ranks + in_rank, 0, {}};
      in_rank = 0;
    } else if (new_lateness) {
      ahead = Ahead{ahead.upper_ranks, in_rank, {}};
    }
    if (this->IsUnservable(claim, this->WaitBehind(now, ahead, claim), now)) {
      unservable.push_back({queued->first, claim});
      continue;
    }
    // Nobody waits for those that are refused.
    const double cost = claim.Cost();
    ahead.by_customer[claim.customer] += cost;
    in_rank += cost;
  }
  std::reverse(unservable.begin(), unservable.end());
  for (const QueuedClaim& queued : unservable) this->Drop(now, queued.id);
  return unservable;
}

std::vector<QueuedClaim> ClaimQueue::TakeLate(TimePoint now) {
  std::vector<QueuedClaim> late;
  for (const auto& [id, entry] : this->entries) {
    if (!this->CanBeOnTime(entry.claim, now)) late.push_back({id, entry.claim});
  }
  for (const QueuedClaim& queued : late) this->Drop(now, queued.id);
  return late;
}

std::array<RankBacklog, kRanks> ClaimQueue::Backlog() const {
  std::array<RankBacklog, kRanks> backlog;
  for (const auto& [id, entry] : this->entries) {
    RankBacklog& rank = backlog.at(static_cast<std::size_t>(entry.claim.rank));
    ++rank.requests;
    rank.tokens += TokensOf(entry.claim);
  }
  return backlog;
}

}  // namespace toucanwharf::admission
