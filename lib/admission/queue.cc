#include "toucanwharf/admission/queue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace toucanwharf::admission {
namespace {

/// Customers looked at for the earliest deadline. Bounds the cost of a
/// decision; with more equals than these shares alone decide.
constexpr int kMostEquals = 8;

std::size_t IndexOf(CustomerNumber customer) {
  return static_cast<std::size_t>(customer);
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

/// A wait that nothing bounds, as no endpoint takes work.
constexpr double kEndlessSeconds = 3600;

}  // namespace

std::optional<Duration> FairQueue::ExpectedWait(TimePoint now,
                                                CustomerNumber customer,
                                                double cost) const {
  if (this->tickets.empty()) return Duration{0};
  if (!this->drain.Known()) return std::nullopt;
  const double rate = this->drain.Rate(now);
  if (rate <= 0) return FromSeconds(kEndlessSeconds);

  const Lanes* own = this->LanesOf(customer);
  const Class own_class = this->ClassOf(cost);
  double ahead = 0;
  bool active = false;
  if (own != nullptr) {
    const double same = (*own)[own_class].cost;
    const double other = (*own)[1 - own_class].cost;
    // The lanes take turns: at most as much of the other goes first.
    ahead = same + std::min(same, other);
    active = same + other > 0;
  }
  const double weight = this->shares.WeightOf(customer);
  const double all = this->shares.ActiveWeight() + (active ? 0 : weight);
  const double by_share = ahead / (rate * weight / all);
  const double by_backlog = this->backlog / rate;
  return FromSeconds(std::min({by_share, by_backlog, kEndlessSeconds}));
}

Duration FairQueue::AllowedWait(TimePoint now, const Ticket& ticket) const {
  return this->LatestStart(ticket) - now;
}

void FairQueue::Push(TimePoint now, const Ticket& ticket) {
  assert(!this->tickets.contains(ticket.id) && "a request waits only once");
  if (IndexOf(ticket.customer) >= this->lanes.size()) {
    this->lanes.resize(IndexOf(ticket.customer) + 1);
  }
  Lanes& own = this->lanes[IndexOf(ticket.customer)];
  const Class own_class = this->ClassOf(ticket.cost);
  Lane& lane = own[own_class];
  if (lane.order.empty()) {
    // A lane that was empty doesn't save up turns.
    lane.served = std::max(lane.served, own[1 - own_class].served);
  }
  lane.order.emplace(ticket.deadline, ticket.id);
  lane.cost += ticket.cost;
  this->backlog += ticket.cost;
  this->by_latest_start.emplace(this->LatestStart(ticket), ticket.id);
  this->tickets.emplace(ticket.id, ticket);
  this->shares.Activate(ticket.customer);
  this->drain.Waiting(now, true);
}

const Ticket* FairQueue::Front() const {
  const auto& turns = this->shares.Turns();
  if (turns.empty()) return nullptr;
  const double first = turns.begin()->first;
  const Ticket* best = nullptr;
  int seen = 0;
  for (const auto& [tag, customer] : turns) {
    const double slack =
        this->settings.turn_slack / this->shares.WeightOf(customer);
    if (++seen > kMostEquals || tag > first + slack) break;
    const Ticket& head = this->HeadOf(customer);
    if (best == nullptr || head.deadline < best->deadline) best = &head;
  }
  return best;
}

Ticket FairQueue::Take(TimePoint now, const std::string& id) {
  const auto found = this->tickets.find(id);
  assert(found != this->tickets.end() && "only what waits can be taken");
  const CustomerNumber customer = found->second.customer;
  const double cost = found->second.cost;
  this->shares.Charge(customer, cost);
  this->lanes[IndexOf(customer)][this->ClassOf(cost)].served += cost;
  this->drain.Took(now, cost);
  return this->Remove(now, id);
}

bool FairQueue::Drop(TimePoint now, const std::string& id) {
  if (!this->tickets.contains(id)) return false;
  this->Remove(now, id);
  return true;
}

std::vector<Ticket> FairQueue::TakeLapsed(TimePoint now) {
  std::vector<Ticket> lapsed;
  while (!this->by_latest_start.empty() &&
         this->by_latest_start.begin()->first < now) {
    const std::string id = this->by_latest_start.begin()->second;
    lapsed.push_back(this->Remove(now, id));
  }
  return lapsed;
}

FairQueue::Class FairQueue::ClassOf(double cost) const {
  return cost < this->settings.long_cost ? kShort : kLong;
}

const FairQueue::Lanes* FairQueue::LanesOf(CustomerNumber customer) const {
  if (IndexOf(customer) >= this->lanes.size()) return nullptr;
  return &this->lanes[IndexOf(customer)];
}

const FairQueue::Lane& FairQueue::NextLane(const Lanes& lanes) {
  const Lane& brief = lanes[kShort];
  const Lane& extended = lanes[kLong];
  if (brief.order.empty()) return extended;
  if (extended.order.empty()) return brief;
  return brief.served <= extended.served ? brief : extended;
}

const Ticket& FairQueue::HeadOf(CustomerNumber customer) const {
  const Lane& lane = NextLane(this->lanes[IndexOf(customer)]);
  return this->tickets.at(lane.order.begin()->second);
}

Ticket FairQueue::Remove(TimePoint now, const std::string& id) {
  const auto found = this->tickets.find(id);
  Ticket ticket = std::move(found->second);
  this->tickets.erase(found);
  Lanes& own = this->lanes[IndexOf(ticket.customer)];
  Lane& lane = own[this->ClassOf(ticket.cost)];
  lane.order.erase({ticket.deadline, ticket.id});
  lane.cost = lane.order.empty() ? 0 : lane.cost - ticket.cost;
  this->backlog = this->tickets.empty() ? 0 : this->backlog - ticket.cost;
  this->by_latest_start.erase({this->LatestStart(ticket), ticket.id});
  if (own[kShort].order.empty() && own[kLong].order.empty()) {
    this->shares.Deactivate(ticket.customer);
  }
  this->drain.Waiting(now, !this->tickets.empty());
  return ticket;
}

TimePoint FairQueue::LatestStart(const Ticket& ticket) const {
  const Duration reserved = ticket.least_service + this->settings.handover;
  return std::min(ticket.deadline - reserved,
                  ticket.arrived + this->settings.longest_wait);
}

}  // namespace toucanwharf::admission
