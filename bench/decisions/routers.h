#ifndef TOUCANWHARF_BENCH_DECISIONS_ROUTERS_H_
#define TOUCANWHARF_BENCH_DECISIONS_ROUTERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet.h"
#include "toucanwharf/admission/admission_controller.h"
#include "toucanwharf/routing/load_view.h"

/// \file
/// The deciding routers: ours, and the baselines that stand beside it. Each has
/// Offer, Next, Finished, Report, Tick and gossip.
namespace toucanwharf::bench {

/// A job to be sent to a chain.
struct Send {
  std::uint64_t id = 0;
  std::uint32_t chain = 0;
};

/// What a router is made with.
struct RouterSetup {
  const std::vector<Chain>* fleet = nullptr;
  std::uint32_t routers = 1;
  std::uint32_t number = 0;
  std::uint64_t seed = 1;
};

/// The failure domain that router \p number stands in.
inline std::uint32_t DomainOf(std::uint32_t number) {
  return number % kDomains;
}

/// Returns what a router knows of \p chain from its endpoints' status.
routing::EndpointSpec SpecOf(const Chain& chain, std::uint32_t router);

/// This repository's decisions.
class GateRouter {
 public:
  GateRouter(const RouterSetup& setup,
             const admission::AdmissionSettings& settings);

  /// Returns false when the job is refused at once.
  bool Offer(TimePoint now, const Job& job);
  std::optional<Send> Next(TimePoint now);
  void Finished(TimePoint now, const Job& job, bool whole);
  void Report(std::uint32_t chain, const routing::LoadReport& report);
  /// Returns how many waiting jobs were given up.
  std::size_t Tick(TimePoint now);
  admission::Usage Served() const;
  void Heard(TimePoint now, std::uint32_t peer, const admission::Usage& usage);
  std::size_t Waiting() const { return this->gate.WaitingCount(); }

 private:
  mutable admission::AdmissionController gate;
  std::vector<std::string> chain_names;
};

enum class Baseline { kRandom, kRoundRobin, kLeastInFlight, kTwoChoicesRaw };

/// Sends each job on at once; what waits, waits inside the endpoints.
class PlainRouter {
 public:
  PlainRouter(const RouterSetup& setup, Baseline chosen);

  bool Offer(TimePoint now, const Job& job);
  std::optional<Send> Next(TimePoint now);
  void Finished(TimePoint now, const Job& job, bool whole);
  void Report(std::uint32_t chain, const routing::LoadReport& report);
  std::size_t Tick(TimePoint) { return 0; }
  admission::Usage Served() const { return {}; }
  void Heard(TimePoint, std::uint32_t, const admission::Usage&) {}
  std::size_t Waiting() const { return 0; }

 private:
  std::uint32_t Choose();
  double RawLoad(std::uint32_t chain) const;

  const std::vector<Chain>* fleet;
  Baseline baseline;
  Random random;
  std::uint32_t turn = 0;
  std::vector<std::uint32_t> in_flight;
  std::vector<routing::LoadReport> reports;
  std::unordered_map<std::uint64_t, std::uint32_t> chain_of;
  std::optional<Send> pending;
};

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_DECISIONS_ROUTERS_H_
