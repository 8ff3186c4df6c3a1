#include "simulation.h"

#include <algorithm>

namespace toucanwharf::bench {
namespace {

/// Load reports are made and reach all routers this often and this late.
constexpr Duration kReportEvery = std::chrono::milliseconds(250);
constexpr Duration kReportLag = std::chrono::milliseconds(250);
constexpr Duration kTickEvery = std::chrono::milliseconds(100);
constexpr Duration kGossipEvery = std::chrono::milliseconds(500);

Duration FromSeconds(double seconds) {
  return Duration{static_cast<std::int64_t>(seconds * 1e6)};
}

double Seconds(Duration length) {
  return std::chrono::duration<double>(length).count();
}

}  // namespace

double Quantile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  const auto index =
      static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

template <typename RouterT>
Simulation<RouterT>::Simulation(const RunSettings& chosen, const Maker& make)
    : settings(chosen),
      fleet(MakeFleet(chosen.endpoints)),
      traffic(chosen.traffic),
      random(chosen.traffic.seed + 1) {
  for (const Chain& chain : this->fleet) this->engines.emplace_back(chain);
  this->in_transit.resize(this->fleet.size());
  for (std::uint32_t at = 0; at < chosen.routers; ++at) {
    this->routers.push_back(make(RouterSetup{&this->fleet, chosen.routers, at,
                                             chosen.traffic.seed + 10 + at}));
    const std::string number = std::to_string(at);
    this->instances.push_back(
        {number, number, std::to_string(DomainOf(at)), false, 0});
  }
}

template <typename RouterT>
RunResult Simulation<RouterT>::Run() {
  this->arriving = this->traffic.Next();
  this->Add(this->arriving.arrived, Kind::kArrive, 0, 0);
  this->Add(TimePoint{kTickEvery}, Kind::kTick, 0, 0);
  if (this->settings.routers > 1) {
    this->Add(TimePoint{kGossipEvery}, Kind::kGossip, 0, 0);
  }
  for (std::uint32_t chain = 0; chain < this->fleet.size(); ++chain) {
    const Duration offset = kReportEvery * chain / this->fleet.size();
    this->Add(TimePoint{kReportEvery + offset}, Kind::kReport, 0, chain);
  }
  const TimePoint end{
      FromSeconds(this->settings.warm_seconds + this->settings.seconds)};
  while (!this->events.empty()) {
    const Event event = this->events.top();
    if (event.at > end) break;
    this->events.pop();
    this->now = event.at;
    this->Handle(event);
  }
  return this->Summary();
}

template <typename RouterT>
void Simulation<RouterT>::Add(TimePoint at, Kind kind, std::uint64_t id,
                              std::uint32_t index) {
  this->events.push(Event{at, this->order++, kind, id, index});
}

template <typename RouterT>
void Simulation<RouterT>::Handle(const Event& event) {
  switch (event.kind) {
    case Kind::kArrive:
      this->Arrive();
      return;
    case Kind::kReach:
      this->engines[event.index].Arrive(this->jobs.at(event.id));
      this->PumpEngine(event.index);
      return;
    case Kind::kEnd: {
      const Placed placed = this->engines[event.index].End(event.id);
      this->NoteWhole(placed, this->now + this->Link(placed));
      this->Add(this->now + this->Link(placed), Kind::kNews, event.id, 1);
      this->PumpEngine(event.index);
      return;
    }
    case Kind::kNews: {
      const Placed placed = this->jobs.at(event.id);
      this->jobs.erase(event.id);
      RouterT& router = this->routers[placed.router];
      this->Timed(
          [&] { router.Finished(this->now, placed.job, event.index == 1); });
      this->PumpRouter(placed.router);
      return;
    }
    case Kind::kReport:
      this->SendReports(event.index);
      return;
    case Kind::kTick:
      for (std::uint32_t at = 0; at < this->routers.size(); ++at) {
        this->refused +=
            this->Timed([&] { return this->routers[at].Tick(this->now); });
        this->PumpRouter(at);
      }
      this->NoteIdle();
      this->Add(this->now + kTickEvery, Kind::kTick, 0, 0);
      return;
    case Kind::kGossip:
      this->Gossip();
      this->Add(this->now + kGossipEvery, Kind::kGossip, 0, 0);
      return;
  }
}

template <typename RouterT>
void Simulation<RouterT>::Arrive() {
  const Job job = this->arriving;
  const std::uint32_t router = this->RouterFor(job);
  if (this->Measured(this->now)) ++this->arrived;
  ++this->offered;
  this->jobs[job.id] = Placed{job, router, 0};
  const bool taken =
      this->Timed([&] { return this->routers[router].Offer(this->now, job); });
  if (!taken) {
    if (this->Measured(this->now)) ++this->refused;
    this->jobs.erase(job.id);
  }
  this->PumpRouter(router);
  this->arriving = this->traffic.Next();
  this->Add(this->arriving.arrived, Kind::kArrive, 0, 0);
}

template <typename RouterT>
void Simulation<RouterT>::PumpRouter(std::uint32_t router) {
  while (const auto send = this->Timed(
             [&] { return this->routers[router].Next(this->now); })) {
    Placed& placed = this->jobs.at(send->id);
    placed.chain = send->chain;
    this->Add(this->now + this->Link(placed), Kind::kReach, send->id,
              send->chain);
  }
}

template <typename RouterT>
void Simulation<RouterT>::PumpEngine(std::uint32_t chain) {
  std::vector<StartedJob> started;
  std::vector<Placed> dropped;
  this->engines[chain].Pump(this->now, started, dropped);
  for (const StartedJob& job : started) {
    const Placed& placed = this->jobs.at(job.id);
    this->NoteFirstToken(placed, job.first_token + this->Link(placed));
    this->Add(job.end, Kind::kEnd, job.id, chain);
  }
  for (const Placed& placed : dropped) {
    if (this->Measured(this->now)) ++this->lost;
    this->Add(this->now + this->Link(placed), Kind::kNews, placed.job.id, 0);
  }
}

template <typename RouterT>
void Simulation<RouterT>::SendReports(std::uint32_t chain) {
  // Of the reports under way only the newest that has arrived is handed over.
  auto& transit = this->in_transit[chain];
  transit.emplace(this->now.since_start.count(),
                  this->engines[chain].Report(this->now));
  const auto latest = static_cast<std::uint64_t>(
      std::max<std::int64_t>((this->now - kReportLag).since_start.count(), 0));
  while (!transit.empty() && transit.begin()->first <= latest) {
    const routing::LoadReport report = transit.begin()->second;
    transit.erase(transit.begin());
    for (std::uint32_t at = 0; at < this->routers.size(); ++at) {
      this->Timed([&] { this->routers[at].Report(chain, report); });
      this->PumpRouter(at);
    }
  }
  this->Add(this->now + kReportEvery, Kind::kReport, 0, chain);
}

template <typename RouterT>
void Simulation<RouterT>::Gossip() {
  for (std::uint32_t from = 0; from < this->routers.size(); ++from) {
    const admission::Usage usage =
        this->Timed([&] { return this->routers[from].Served(); });
    for (std::uint32_t to = 0; to < this->routers.size(); ++to) {
      if (from == to) continue;
      this->Timed([&] { this->routers[to].Heard(this->now, from, usage); });
    }
  }
}

template <typename RouterT>
void Simulation<RouterT>::NoteFirstToken(const Placed& placed, TimePoint at) {
  if (!this->Measured(placed.job.arrived)) return;
  const double seconds = Seconds(at - placed.job.arrived);
  this->first_tokens.push_back(seconds);
  if (placed.job.customer != 0) this->small_first_tokens.push_back(seconds);
  this->gaps.push_back(this->fleet[placed.chain].TokenSeconds());
}

template <typename RouterT>
void Simulation<RouterT>::NoteWhole(const Placed& placed, TimePoint at) {
  this->all_tokens += placed.job.output_tokens;
  if (!this->Measured(at)) return;
  this->whole.push_back(placed.job);
  this->tokens += placed.job.output_tokens;
}

template <typename RouterT>
void Simulation<RouterT>::NoteIdle() {
  if (!this->Measured(this->now)) return;
  const bool waiting =
      std::any_of(this->routers.begin(), this->routers.end(),
                  [](const RouterT& router) { return router.Waiting() > 0; });
  for (std::size_t at = 0; at < this->engines.size(); ++at) {
    this->slot_samples += this->fleet[at].Slots();
    if (waiting) this->idle += this->engines[at].Idle();
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
Duration Simulation<RouterT>::Link(const Placed& placed) const {
  return FromSeconds(
      LinkSeconds(DomainOf(placed.router), this->fleet[placed.chain].domain));
}

template <typename RouterT>
bool Simulation<RouterT>::Measured(TimePoint at) const {
  return at >= TimePoint{FromSeconds(this->settings.warm_seconds)};
}

template <typename RouterT>
RunResult Simulation<RouterT>::Summary() const {
  RunResult result;
  const auto all =
      static_cast<double>(std::max<std::uint64_t>(this->arrived, 1));
  result.requests_per_second =
      static_cast<double>(this->whole.size()) / this->settings.seconds;
  result.tokens_per_second = this->tokens / this->settings.seconds;
  if (!this->whole.empty()) {
    result.of_answered_bound =
        result.requests_per_second /
        ComputeBound(this->fleet, this->whole).requests_per_second;
  }
  result.refused_part = static_cast<double>(this->refused) / all;
  result.lost_part = static_cast<double>(this->lost) / all;
  result.first_token_p50 = Quantile(this->first_tokens, 0.5);
  result.first_token_p95 = Quantile(this->first_tokens, 0.95);
  result.token_gap_p95 = Quantile(this->gaps, 0.95);
  result.small_p95 = Quantile(this->small_first_tokens, 0.95);
  result.idle_while_waiting =
      this->slot_samples > 0 ? this->idle / this->slot_samples : 0;
  const auto micros =
      std::chrono::duration<double, std::micro>(this->decision_time);
  result.micros_per_request =
      micros.count() /
      static_cast<double>(std::max<std::uint64_t>(this->offered, 1));
  result.micros_per_token = micros.count() / std::max(this->all_tokens, 1.0);
  return result;
}

template class Simulation<GateRouter>;
template class Simulation<PlainRouter>;

}  // namespace toucanwharf::bench
