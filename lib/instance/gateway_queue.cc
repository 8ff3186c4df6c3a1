#include <algorithm>
#include <numeric>
#include <utility>

#include "absl/strings/str_cat.h"
#include "proxied_request.h"
#include "toucanwharf/instance/gateway.h"

namespace toucanwharf::instance {
namespace {

/// Between checks of the queues. A hundred answers end each second, so that
/// capacity is freed every ten milliseconds on average.
constexpr Duration kQueuePollPeriod = std::chrono::milliseconds(20);

/// Every rank may claim capacity.
constexpr auto kAnyRank = [](int) { return true; };

admission::ClaimQueueSettings SettingsOf(const Mechanisms& mechanisms) {
  admission::ClaimQueueSettings settings;
  settings.ordered = mechanisms.rank_order;
  return settings;
}

}  // namespace

bool Gateway::HasQueueAhead(const std::string& service,
                            const admission::Claim& claim) const {
  const auto found = this->queues.find(service);
  return found != this->queues.end() &&
         found->second.order.CountAhead(this->loop.Now(), claim) > 0;
}

WaitingByRank Gateway::Waiting() const {
  WaitingByRank waiting{};
  for (const auto& [service, queue] : this->queues) {
    const WaitingByRank backlog = queue.order.Backlog();
    for (std::size_t rank = 0; rank < backlog.size(); ++rank) {
      waiting.at(rank).requests += backlog.at(rank).requests;
      waiting.at(rank).tokens += backlog.at(rank).tokens;
    }
  }
  return waiting;
}

void Gateway::OnAnswerEnded(const std::string& service) {
  const TimePoint now = this->loop.Now();
  if (!this->returns.contains(service)) {
    // Configured services change; without a rate the schedule isn't used.
    std::erase_if(this->returns, [now](const auto& entry) {
      return entry.second.answers.PerSecond(now) == 0;
    });
  }
  this->returns[service].answers.Record(now);
}

std::optional<Duration> Gateway::ScheduleReturn(const std::string& service,
                                                const admission::Claim& claim,
                                                Duration time_left) {
  const auto found = this->returns.find(service);
  if (found == this->returns.end()) return std::nullopt;
  const TimePoint now = this->loop.Now();
  return found->second.schedule.Schedule(
      now, claim.rank, found->second.answers.PerSecond(now),
      this->CountQueuedBefore(service, claim), time_left, this->random);
}

std::size_t Gateway::CountQueuedBefore(const std::string& service,
                                       const admission::Claim& claim) const {
  const auto found = this->queues.find(service);
  if (found == this->queues.end()) return 0;
  const admission::ClaimQueue& order = found->second.order;
  if (!this->settings.mechanisms.rank_order) return order.size();
  const auto backlog = order.Backlog();
  return std::accumulate(
      backlog.begin(), backlog.begin() + claim.rank + 1, std::size_t{0},
      [](std::size_t sum, const auto& rank) { return sum + rank.requests; });
}

void Gateway::Enqueue(const std::string& service,
                      std::shared_ptr<ProxiedRequest> request) {
  ++this->counters.queued;
  const TimePoint now = this->loop.Now();
  const admission::Claim claim = request->ClaimOf();
  const auto [entry, added] = this->queues.try_emplace(
      service,
      ServiceQueue{admission::ClaimQueue(SettingsOf(this->settings.mechanisms)),
                   {}});
  ServiceQueue& queue = entry->second;
  const std::string id = absl::StrCat(++this->queued_ids);
  request->LogQueued(queue.order.CountAhead(now, claim),
                     queue.order.ExpectedWait(now, claim));
  queue.order.Push(now, {id, claim});
  queue.requests.emplace(id, std::move(request));
  this->ScheduleQueues();
}

void Gateway::ScheduleQueues() {
  if (this->queues.empty() || this->queue_timer != 0) return;
  this->queue_timer =
      this->loop.After(kQueuePollPeriod, [this] { this->ServeQueues(); });
}

void Gateway::ServeQueues() {
  this->queue_timer = 0;
  // Serving a request may queue others, also for a service without a queue.
  std::vector<std::string> services;
  for (const auto& [service, queue] : this->queues) services.push_back(service);
  for (const std::string& service : services) {
    this->ServeQueue(this->queues.at(service));
  }
  std::erase_if(this->queues,
                [](const auto& entry) { return entry.second.order.empty(); });
  this->ScheduleQueues();
}

void Gateway::ServeQueue(ServiceQueue& service) {
  const TimePoint now = this->loop.Now();
  std::erase_if(service.requests, [&](const auto& entry) {
    return entry.second->IsFinished() && service.order.Drop(now, entry.first);
  });
  service.order.Advance(now);
  while (const auto first = service.order.Front(kAnyRank)) {
    if (this->TryToServe(service, first->id)) continue;
    const auto next = service.order.PassBlocked(now, first->id);
    if (!next || !this->TryToServe(service, next->id)) break;
  }
  this->RefuseUnservable(service);
}

bool Gateway::TryToServe(ServiceQueue& service, const std::string& id) {
  const std::shared_ptr<ProxiedRequest> request = service.requests.at(id);
  const ProxiedRequest::QueueStep step = request->LeaveQueue();
  if (step == ProxiedRequest::QueueStep::kWait) return false;
  const TimePoint now = this->loop.Now();
  if (step == ProxiedRequest::QueueStep::kSent) {
    service.order.Take(now, id);
  } else {
    service.order.Drop(now, id);
  }
  service.requests.erase(id);
  return true;
}

void Gateway::RefuseUnservable(ServiceQueue& service) {
  const TimePoint now = this->loop.Now();
  auto refused = service.order.TakeUnservable(now);
  if (this->state.stopping_since) {
    const auto late = service.order.TakeLate(now);
    refused.insert(refused.end(), late.begin(), late.end());
  }
  for (const auto& queued : refused) {
    const auto request = service.requests.extract(queued.id);
    request.mapped()->RefuseQueued();
  }
}

}  // namespace toucanwharf::instance
