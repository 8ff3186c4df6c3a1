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

GateRouter::GateRouter(const RouterSetup& setup,
                       const admission::AdmissionSettings& settings)
    : gate(settings, setup.seed) {
  this->gate.SetRouters(setup.routers);
  for (std::size_t at = 0; at < setup.fleet->size(); ++at) {
    this->chain_names.push_back("chain-" + std::to_string(at));
    this->gate.AddEndpoint(TimePoint{}, this->chain_names.back(),
                           SpecOf((*setup.fleet)[at], setup.number), false);
  }
}

bool GateRouter::Offer(TimePoint now, const Job& job) {
  admission::Request request;
  request.id = std::to_string(job.id);
  request.customer = CustomerName(job.customer);
  request.size = {job.prompt_tokens, 1024};
  request.deadline = job.deadline;
  const admission::OfferResult offered = this->gate.Offer(now, request);
  return std::holds_alternative<admission::Waiting>(offered);
}

std::optional<Send> GateRouter::Next(TimePoint now) {
  const auto next = this->gate.Next(now);
  if (!next) return std::nullopt;
  return Send{std::strtoull(next->id.c_str(), nullptr, 10),
              static_cast<std::uint32_t>(next->endpoints.front())};
}

void GateRouter::Finished(TimePoint now, const Job& job, bool whole) {
  this->gate.Finished(
      now, std::to_string(job.id),
      whole ? admission::Outcome::kWhole : admission::Outcome::kCancelled,
      whole ? job.output_tokens : 0);
}

void GateRouter::Report(std::uint32_t chain,
                        const routing::LoadReport& report) {
  this->gate.Report(this->chain_names[chain], report);
}

std::size_t GateRouter::Tick(TimePoint now) {
  return this->gate.Tick(now).size();
}

admission::Usage GateRouter::Served() const {
  return this->gate.CustomerShares().Served();
}

void GateRouter::Heard(TimePoint now, std::uint32_t peer,
                       const admission::Usage& usage) {
  this->gate.CustomerShares().MergePeerUsage(now, std::to_string(peer), usage);
}

PlainRouter::PlainRouter(const RouterSetup& setup, Baseline chosen)
    : fleet(setup.fleet),
      baseline(chosen),
      random(setup.seed),
      in_flight(setup.fleet->size()),
      reports(setup.fleet->size()) {}

bool PlainRouter::Offer(TimePoint, const Job& job) {
  const std::uint32_t chain = this->Choose();
  ++this->in_flight[chain];
  this->chain_of[job.id] = chain;
  this->pending = Send{job.id, chain};
  return true;
}

std::optional<Send> PlainRouter::Next(TimePoint) {
  return std::exchange(this->pending, std::nullopt);
}

void PlainRouter::Finished(TimePoint, const Job& job, bool) {
  const auto found = this->chain_of.find(job.id);
  --this->in_flight[found->second];
  this->chain_of.erase(found);
}

void PlainRouter::Report(std::uint32_t chain,
                         const routing::LoadReport& report) {
  this->reports[chain] = report;
}

std::uint32_t PlainRouter::Choose() {
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
      const auto least =
          std::min_element(this->in_flight.begin(), this->in_flight.end());
      return static_cast<std::uint32_t>(least - this->in_flight.begin());
    }
    case Baseline::kTwoChoicesRaw: {
      const std::uint32_t first = draw();
      const std::uint32_t second = draw();
      return this->RawLoad(first) <= this->RawLoad(second) ? first : second;
    }
  }
  return 0;
}

double PlainRouter::RawLoad(std::uint32_t chain) const {
  constexpr double kTokensEach = 470;
  const routing::LoadReport& report = this->reports[chain];
  const double requests = report.running + report.queued_tokens / kTokensEach;
  return requests / (*this->fleet)[chain].Slots();
}

}  // namespace toucanwharf::bench
