#include "toucanwharf/admission/queue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace toucanwharf::admission {
namespace {

/// Customers considered for the earliest deadline. Bounds the cost of a
/// decision; among more equal ones the shares alone decide.
constexpr int kMaxEqualCustomers = 8;

std::size_t IndexOf(CustomerNumber customer) {
  return static_cast<std::size_t>(customer);
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

/// Expected wait if no endpoint takes work, and upper bound of any estimate.
constexpr double kMaxExpectedSeconds = 3600;

}  // namespace

std::optional<Duration> FairQueue::ExpectedWait(TimePoint now,
                                                CustomerNumber customer,
                                                double cost) const {
  if (this->tickets.empty()) return Duration{0};
  if (!this->drain.HasRate()) return std::nullopt;
  const double rate = this->drain.Rate(now);
  if (rate <= 0) return FromSeconds(kMaxExpectedSeconds);

  const Lanes* customer_lanes = this->LanesOf(customer);
  const Class work_class = this->ClassOf(cost);
  double ahead = 0;
  bool active = false;
  if (customer_lanes != nullptr) {
    const double same = (*customer_lanes)[work_class].cost;
    const double other = (*customer_lanes)[1 - work_class].cost;
    // The lanes alternate: at most an equal amount of the other goes first.
    ahead = same + std::min(same, other);
    active = same + other > 0;
  }
  const double weight = this->shares.WeightOf(customer);
  const double total_weight =
      this->shares.ActiveWeight() + (active ? 0 : weight);
  const double by_share = ahead / (rate * weight / total_weight);
  const double by_backlog = this->backlog / rate;
  return FromSeconds(std::min({by_share, by_backlog, kMaxExpectedSeconds}));
}

Duration FairQueue::AllowedWait(TimePoint now, const Ticket& ticket) const {
  return this->LatestStart(ticket) - now;
}

void FairQueue::Push(TimePoint now, const Ticket& ticket) {
  assert(!this->tickets.contains(ticket.id) && "request is already queued");
  if (IndexOf(ticket.customer) >= this->lanes.size()) {
    this->lanes.resize(IndexOf(ticket.customer) + 1);
  }
  Lanes& customer_lanes = this->lanes[IndexOf(ticket.customer)];
  const Class work_class = this->ClassOf(ticket.cost);
  Lane& lane = customer_lanes[work_class];
  if (lane.order.empty()) {
    // An empty lane doesn't accumulate turns.
    lane.served = std::max(lane.served, customer_lanes[1 - work_class].served);
  }
  lane.order.emplace(ticket.deadline, ticket.id);
  lane.cost += ticket.cost;
  this->backlog += ticket.cost;
  this->by_latest_start.emplace(this->LatestStart(ticket), ticket.id);
  this->tickets.emplace(ticket.id, ticket);
  this->shares.Activate(ticket.customer);
  this->drain.SetWaiting(now, true);
}

const Ticket* FairQueue::Front() const {
  const auto& turns = this->shares.Turns();
  if (turns.empty()) return nullptr;
  const double first = turns.begin()->first;
  const Ticket* best = nullptr;
  int considered = 0;
  for (const auto& [tag, customer] : turns) {
    const double slack =
        this->settings.turn_slack / this->shares.WeightOf(customer);
    if (++considered > kMaxEqualCustomers || tag > first + slack) break;
    const Ticket& head = this->HeadOf(customer);
    if (best == nullptr || head.deadline < best->deadline) best = &head;
  }
  return best;
}

Ticket FairQueue::Take(TimePoint now, const std::string& id) {
  const auto found = this->tickets.find(id);
  assert(found != this->tickets.end() && "request is not queued");
  const CustomerNumber customer = found->second.customer;
  const double cost = found->second.cost;
  this->shares.Charge(customer, cost);
  this->lanes[IndexOf(customer)][this->ClassOf(cost)].served += cost;
  this->drain.RecordTaken(now, cost);
  return this->Remove(now, id);
}

bool FairQueue::Drop(TimePoint now, const std::string& id) {
  if (!this->tickets.contains(id)) return false;
  this->Remove(now, id);
  return true;
}

std::vector<Ticket> FairQueue::TakeExpired(TimePoint now) {
  std::vector<Ticket> expired;
  while (!this->by_latest_start.empty() &&
         this->by_latest_start.begin()->first < now) {
    const std::string id = this->by_latest_start.begin()->second;
    expired.push_back(this->Remove(now, id));
  }
  return expired;
}

FairQueue::Class FairQueue::ClassOf(double cost) const {
  return cost < this->settings.long_cost ? kShort : kLong;
}

const FairQueue::Lanes* FairQueue::LanesOf(CustomerNumber customer) const {
  if (IndexOf(customer) >= this->lanes.size()) return nullptr;
  return &this->lanes[IndexOf(customer)];
}

const FairQueue::Lane& FairQueue::NextLane(const Lanes& lanes) {
  const Lane& short_lane = lanes[kShort];
  const Lane& long_lane = lanes[kLong];
  if (short_lane.order.empty()) return long_lane;
  if (long_lane.order.empty()) return short_lane;
  return short_lane.served <= long_lane.served ? short_lane : long_lane;
}

const Ticket& FairQueue::HeadOf(CustomerNumber customer) const {
  const Lane& lane = NextLane(this->lanes[IndexOf(customer)]);
  return this->tickets.at(lane.order.begin()->second);
}

Ticket FairQueue::Remove(TimePoint now, const std::string& id) {
  const auto found = this->tickets.find(id);
  Ticket ticket = std::move(found->second);
  this->tickets.erase(found);
  Lanes& customer_lanes = this->lanes[IndexOf(ticket.customer)];
  Lane& lane = customer_lanes[this->ClassOf(ticket.cost)];
  lane.order.erase({ticket.deadline, ticket.id});
  lane.cost = lane.order.empty() ? 0 : lane.cost - ticket.cost;
  this->backlog = this->tickets.empty() ? 0 : this->backlog - ticket.cost;
  this->by_latest_start.erase({this->LatestStart(ticket), ticket.id});
  if (customer_lanes[kShort].order.empty() &&
      customer_lanes[kLong].order.empty()) {
    this->shares.Deactivate(ticket.customer);
  }
  this->drain.SetWaiting(now, !this->tickets.empty());
  return ticket;
}

TimePoint FairQueue::LatestStart(const Ticket& ticket) const {
  const Duration reserved =
      ticket.min_service_time + this->settings.dispatch_reserve;
  return std::min(ticket.deadline - reserved,
                  ticket.arrived + this->settings.max_wait);
}

}  // namespace toucanwharf::admission
