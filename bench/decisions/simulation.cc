#include "simulation.h"

#include <algorithm>

namespace toucanwharf::bench {
namespace {

/// How often each engine makes a load report.
constexpr Duration kReportInterval = std::chrono::milliseconds(250);
/// How long a load report takes to reach the routers.
constexpr Duration kReportDelay = std::chrono::milliseconds(250);
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kGossipInterval = std::chrono::milliseconds(500);

Duration FromSeconds(double seconds) {
  return Duration{static_cast<std::int64_t>(seconds * 1e6)};
}

double Seconds(Duration length) {
  return std::chrono::duration<double>(length).count();
}

}  // namespace

double Quantile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  const auto index = static_cast<std::size_t>(
      fraction * static_cast<double>(values.size() - 1));
  const auto nth = values.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

template <typename RouterT>
Simulation<RouterT>::Simulation(const RunSettings& chosen,
                                const RouterFactory& make)
    : settings(chosen),
      fleet(MakeFleet(chosen.endpoints)),
      traffic(chosen.traffic),
      random(chosen.traffic.seed + 1) {
  for (const Chain& chain : this->fleet) this->engines.emplace_back(chain);
  this->in_transit.resize(this->fleet.size());
  for (std::uint32_t index = 0; index < chosen.routers; ++index) {
    this->routers.push_back(
        make(RouterSetup{&this->fleet, chosen.routers, index,
                         chosen.traffic.seed + 10 + index}));
    const std::string number = std::to_string(index);
    this->instances.push_back(
        {number, number, std::to_string(DomainOf(index)), false, 0});
  }
}

template <typename RouterT>
RunResult Simulation<RouterT>::Run() {
  this->arriving = this->traffic.Next();
  this->Add(this->arriving.arrived, Kind::kArrival, 0, 0);
  this->Add(TimePoint{kTickInterval}, Kind::kTick, 0, 0);
  if (this->settings.routers > 1) {
    this->Add(TimePoint{kGossipInterval}, Kind::kGossip, 0, 0);
  }
  for (std::uint32_t chain = 0; chain < this->fleet.size(); ++chain) {
    const Duration offset = kReportInterval * chain / this->fleet.size();
    this->Add(TimePoint{kReportInterval + offset}, Kind::kReport, 0, chain);
  }
  const TimePoint end{
      FromSeconds(this->settings.warmup_seconds + this->settings.seconds)};
  while (!this->events.empty()) {
    const Event event = this->events.top();
    if (event.time > end) break;
    this->events.pop();
    this->now = event.time;
    this->Handle(event);
  }
  return this->Summary();
}

template <typename RouterT>
void Simulation<RouterT>::Add(TimePoint time, Kind kind, std::uint64_t id,
                              std::uint32_t index) {
  this->events.push(Event{time, this->sequence++, kind, id, index});
}

template <typename RouterT>
void Simulation<RouterT>::Handle(const Event& event) {
  switch (event.kind) {
    case Kind::kArrival:
      this->HandleArrival();
      return;
    case Kind::kReachEngine:
      this->engines[event.index].Enqueue(this->jobs.at(event.id));
      this->StartJobs(event.index);
      return;
    case Kind::kJobEnd: {
      const PlacedJob placed = this->engines[event.index].End(event.id);
      this->RecordCompleted(placed, this->now + this->LinkDelay(placed));
      this->Add(this->now + this->LinkDelay(placed), Kind::kOutcome, event.id,
                1);
      this->StartJobs(event.index);
      return;
    }
    case Kind::kOutcome: {
      const PlacedJob placed = this->jobs.at(event.id);
      this->jobs.erase(event.id);
      RouterT& router = this->routers[placed.router];
      this->Timed(
          [&] { router.Finished(this->now, placed.job, event.index == 1); });
      this->DispatchJobs(placed.router);
      return;
    }
    case Kind::kReport:
      this->SendReports(event.index);
      return;
    case Kind::kTick:
      for (std::uint32_t index = 0; index < this->routers.size(); ++index) {
        this->refused +=
            this->Timed([&] { return this->routers[index].Tick(this->now); });
        this->DispatchJobs(index);
      }
      this->RecordIdleSlots();
      this->Add(this->now + kTickInterval, Kind::kTick, 0, 0);
      return;
    case Kind::kGossip:
      this->Gossip();
      this->Add(this->now + kGossipInterval, Kind::kGossip, 0, 0);
      return;
  }
}

template <typename RouterT>
void Simulation<RouterT>::HandleArrival() {
  const Job job = this->arriving;
  const std::uint32_t router = this->RouterFor(job);
  if (this->IsMeasured(this->now)) ++this->arrived;
  ++this->offered;
  this->jobs[job.id] = PlacedJob{job, router, 0};
  const bool taken =
      this->Timed([&] { return this->routers[router].Offer(this->now, job); });
  if (!taken) {
    if (this->IsMeasured(this->now)) ++this->refused;
    this->jobs.erase(job.id);
  }
  this->DispatchJobs(router);
  this->arriving = this->traffic.Next();
  this->Add(this->arriving.arrived, Kind::kArrival, 0, 0);
}

template <typename RouterT>
void Simulation<RouterT>::DispatchJobs(std::uint32_t router) {
  while (const auto send = this->Timed(
             [&] { return this->routers[router].Next(this->now); })) {
    PlacedJob& placed = this->jobs.at(send->id);
    placed.chain = send->chain;
    this->Add(this->now + this->LinkDelay(placed), Kind::kReachEngine, send->id,
              send->chain);
  }
}

template <typename RouterT>
void Simulation<RouterT>::StartJobs(std::uint32_t chain) {
  std::vector<StartedJob> started;
  std::vector<PlacedJob> dropped;
  this->engines[chain].StartQueued(this->now, started, dropped);
  for (const StartedJob& job : started) {
    const PlacedJob& placed = this->jobs.at(job.id);
    this->RecordFirstToken(placed, job.first_token + this->LinkDelay(placed));
    this->Add(job.end, Kind::kJobEnd, job.id, chain);
  }
  for (const PlacedJob& placed : dropped) {
    if (this->IsMeasured(this->now)) ++this->lost;
    this->Add(this->now + this->LinkDelay(placed), Kind::kOutcome,
              placed.job.id, 0);
  }
}

template <typename RouterT>
void Simulation<RouterT>::SendReports(std::uint32_t chain) {
  // Delivers the reports in transit whose delay has passed, oldest first.
  auto& transit = this->in_transit[chain];
  transit.emplace(this->now.since_start.count(),
                  this->engines[chain].Report(this->now));
  const auto latest_arrived = static_cast<std::uint64_t>(std::max<std::int64_t>(
      (this->now - kReportDelay).since_start.count(), 0));
  while (!transit.empty() && transit.begin()->first <= latest_arrived) {
    const routing::LoadReport report = transit.begin()->second;
    transit.erase(transit.begin());
    for (std::uint32_t index = 0; index < this->routers.size(); ++index) {
      this->Timed([&] { this->routers[index].Report(chain, report); });
      this->DispatchJobs(index);
    }
  }
  this->Add(this->now + kReportInterval, Kind::kReport, 0, chain);
}

template <typename RouterT>
void Simulation<RouterT>::Gossip() {
  for (std::uint32_t from = 0; from < this->routers.size(); ++from) {
    const admission::Usage usage =
        this->Timed([&] { return this->routers[from].Served(); });
    for (std::uint32_t to = 0; to < this->routers.size(); ++to) {
      if (from == to) continue;
      this->Timed(
          [&] { this->routers[to].MergePeerUsage(this->now, from, usage); });
    }
  }
}

template <typename RouterT>
void Simulation<RouterT>::RecordFirstToken(const PlacedJob& placed,
                                           TimePoint time) {
  if (!this->IsMeasured(placed.job.arrived)) return;
  const double seconds = Seconds(time - placed.job.arrived);
  this->first_tokens.push_back(seconds);
  if (placed.job.customer != 0) this->small_first_tokens.push_back(seconds);
  this->gaps.push_back(this->fleet[placed.chain].TokenSeconds());
}

template <typename RouterT>
void Simulation<RouterT>::RecordCompleted(const PlacedJob& placed,
                                          TimePoint time) {
  this->all_tokens += placed.job.output_tokens;
  if (!this->IsMeasured(time)) return;
  this->completed.push_back(placed.job);
  this->tokens += placed.job.output_tokens;
}

template <typename RouterT>
void Simulation<RouterT>::RecordIdleSlots() {
  if (!this->IsMeasured(this->now)) return;
  const bool waiting =
      std::any_of(this->routers.begin(), this->routers.end(),
                  [](const RouterT& router) { return router.Waiting() > 0; });
  for (std::size_t index = 0; index < this->engines.size(); ++index) {
    this->slot_samples += this->fleet[index].Slots();
    if (waiting) this->idle_slots += this->engines[index].IdleSlots();
  }
}

template <typename RouterT>
std::uint32_t Simulation<RouterT>::RouterFor(const Job& job) {
  if (this->routers.size() == 1) return 0;
  const routing::Advice advice = this->advisor.For(
      "customer-" + std::to_string(job.customer),
      this->traffic.ShareOf(job.customer), this->instances, this->random);
  return static_cast<std::uint32_t>(std::stoul(advice.addresses.front()));
}

template <typename RouterT>
Duration Simulation<RouterT>::LinkDelay(const PlacedJob& placed) const {
  return FromSeconds(
      LinkSeconds(DomainOf(placed.router), this->fleet[placed.chain].domain));
}

template <typename RouterT>
bool Simulation<RouterT>::IsMeasured(TimePoint time) const {
  return time >= TimePoint{FromSeconds(this->settings.warmup_seconds)};
}

template <typename RouterT>
RunResult Simulation<RouterT>::Summary() const {
  RunResult result;
  const auto arrivals =
      static_cast<double>(std::max<std::uint64_t>(this->arrived, 1));
  result.requests_per_second =
      static_cast<double>(this->completed.size()) / this->settings.seconds;
  result.tokens_per_second = this->tokens / this->settings.seconds;
  if (!this->completed.empty()) {
    result.fraction_of_answered_bound =
        result.requests_per_second /
        ComputeBound(this->fleet, this->completed).requests_per_second;
  }
  result.refused_fraction = static_cast<double>(this->refused) / arrivals;
  result.lost_fraction = static_cast<double>(this->lost) / arrivals;
  result.first_token_p50 = Quantile(this->first_tokens, 0.5);
  result.first_token_p95 = Quantile(this->first_tokens, 0.95);
  result.token_gap_p95 = Quantile(this->gaps, 0.95);
  result.small_customers_p95 = Quantile(this->small_first_tokens, 0.95);
  result.idle_while_waiting =
      this->slot_samples > 0 ? this->idle_slots / this->slot_samples : 0;
  const auto micros =
      std::chrono::duration<double, std::micro>(this->decision_time);
  result.micros_per_request =
      micros.count() /
      static_cast<double>(std::max<std::uint64_t>(this->offered, 1));
  result.micros_per_token = micros.count() / std::max(this->all_tokens, 1.0);
  return result;
}

template class Simulation<AdmissionRouter>;
template class Simulation<BaselineRouter>;

}  // namespace toucanwharf::bench
