#include "routers.h"

#include <algorithm>
#include <cstdlib>

namespace toucanwharf::bench {
namespace {

std::string CustomerName(std::uint32_t customer) {
  return "customer-" + std::to_string(customer);
}

}  // namespace

routing::EndpointSpec SpecOf(const Chain& chain, std::uint32_t router) {
  routing::EndpointSpec spec;
  spec.slots = chain.Slots();
  spec.token_gap =
      Duration{static_cast<std::int64_t>(chain.TokenSeconds() * 1e6)};
  spec.prefill_tokens_per_second = 1.0 / chain.PrefillSeconds(1);
  const double link = LinkSeconds(DomainOf(router), chain.domain);
  spec.link = Duration{static_cast<std::int64_t>(link * 1e6)};
  return spec;
}

AdmissionRouter::AdmissionRouter(const RouterSetup& setup,
                                 const admission::AdmissionSettings& settings)
    : controller(settings, setup.seed) {
  this->controller.SetRouters(setup.routers);
  for (std::size_t chain = 0; chain < setup.fleet->size(); ++chain) {
    this->chain_names.push_back("chain-" + std::to_string(chain));
    this->controller.AddEndpoint(TimePoint{}, this->chain_names.back(),
                                 SpecOf((*setup.fleet)[chain], setup.index),
                                 false);
  }
}

bool AdmissionRouter::Offer(TimePoint now, const Job& job) {
  admission::Request request;
  request.id = std::to_string(job.id);
  request.customer = CustomerName(job.customer);
  request.size = {job.prompt_tokens, 1024};
  request.deadline = job.deadline;
  const admission::OfferResult offered = this->controller.Offer(now, request);
  return std::holds_alternative<admission::Waiting>(offered);
}

std::optional<Dispatch> AdmissionRouter::Next(TimePoint now) {
  const auto next = this->controller.Next(now);
  if (!next) return std::nullopt;
  return Dispatch{std::strtoull(next->id.c_str(), nullptr, 10),
                  static_cast<std::uint32_t>(next->endpoints.front())};
}

void AdmissionRouter::Finished(TimePoint now, const Job& job, bool complete) {
  this->controller.Finished(
      now, std::to_string(job.id),
      complete ? admission::Outcome::kWhole : admission::Outcome::kCancelled,
      complete ? job.output_tokens : 0);
}

void AdmissionRouter::Report(std::uint32_t chain,
                             const routing::LoadReport& report) {
  this->controller.Report(this->chain_names[chain], report);
}

std::size_t AdmissionRouter::Tick(TimePoint now) {
  return this->controller.Tick(now).size();
}

admission::Usage AdmissionRouter::Served() const {
  return this->controller.CustomerShares().Served();
}

void AdmissionRouter::MergePeerUsage(TimePoint now, std::uint32_t peer,
                                     const admission::Usage& usage) {
  this->controller.CustomerShares().MergePeerUsage(now, std::to_string(peer),
                                                   usage);
}

BaselineRouter::BaselineRouter(const RouterSetup& setup, Baseline chosen)
    : fleet(setup.fleet),
      baseline(chosen),
      random(setup.seed),
      in_flight(setup.fleet->size()),
      reports(setup.fleet->size()) {}

bool BaselineRouter::Offer(TimePoint, const Job& job) {
  const std::uint32_t chain = this->Choose();
  ++this->in_flight[chain];
  this->chain_of[job.id] = chain;
  this->pending = Dispatch{job.id, chain};
  return true;
}

std::optional<Dispatch> BaselineRouter::Next(TimePoint) {
  return std::exchange(this->pending, std::nullopt);
}

void BaselineRouter::Finished(TimePoint, const Job& job, bool) {
  const auto found = this->chain_of.find(job.id);
  --this->in_flight[found->second];
  this->chain_of.erase(found);
}

void BaselineRouter::Report(std::uint32_t chain,
                            const routing::LoadReport& report) {
  this->reports[chain] = report;
}

std::uint32_t BaselineRouter::Choose() {
  const auto count = static_cast<std::uint32_t>(this->fleet->size());
  const auto draw = [&] {
    return static_cast<std::uint32_t>(this->random.Below(count));
  };
  switch (this->baseline) {
    case Baseline::kRandom:
      return draw();
    case Baseline::kRoundRobin:
      return this->turn++ % count;
    case Baseline::kLeastInFlight: {
      const auto min_entry =
          std::min_element(this->in_flight.begin(), this->in_flight.end());
      return static_cast<std::uint32_t>(min_entry - this->in_flight.begin());
    }
    case Baseline::kTwoChoicesRaw: {
      const std::uint32_t first = draw();
      const std::uint32_t second = draw();
      return this->ReportedLoad(first) <= this->ReportedLoad(second) ? first
                                                                     : second;
    }
  }
  return 0;
}

double BaselineRouter::ReportedLoad(std::uint32_t chain) const {
  // Mean prompt of 350 tokens and mean output of 120.
  constexpr double kTypicalJobTokens = 470;
  const routing::LoadReport& report = this->reports[chain];
  const double requests =
      report.running + report.queued_tokens / kTypicalJobTokens;
  return requests / (*this->fleet)[chain].Slots();
}

}  // namespace toucanwharf::bench
