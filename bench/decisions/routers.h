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
/// The simulated routers: one with the real admission controller, and the
/// baselines that it is compared with. Simulation calls the same methods of
/// each.
namespace toucanwharf::bench {

/// A job and the chain that it is sent to.
struct Dispatch {
  std::uint64_t id = 0;
  std::uint32_t chain = 0;
};

struct RouterSetup {
  const std::vector<Chain>* fleet = nullptr;
  std::uint32_t routers = 1;
  std::uint32_t index = 0;
  std::uint64_t seed = 1;
};

/// Returns the failure domain of router \p index.
inline std::uint32_t DomainOf(std::uint32_t index) { return index % kDomains; }

/// Returns the endpoint spec of \p chain as router \p router sees it.
routing::EndpointSpec SpecOf(const Chain& chain, std::uint32_t router);

/// Decides with admission::AdmissionController.
class AdmissionRouter {
 public:
  AdmissionRouter(const RouterSetup& setup,
                  const admission::AdmissionSettings& settings);

  /// Returns false if the job is refused immediately.
  bool Offer(TimePoint now, const Job& job);
  std::optional<Dispatch> Next(TimePoint now);
  void Finished(TimePoint now, const Job& job, bool complete);
  void Report(std::uint32_t chain, const routing::LoadReport& report);
  /// Returns how many waiting jobs were refused, as they would be late.
  std::size_t Tick(TimePoint now);
  admission::Usage Served() const;
  void MergePeerUsage(TimePoint now, std::uint32_t peer,
                      const admission::Usage& usage);
  std::size_t Waiting() const { return this->controller.WaitingCount(); }

 private:
  mutable admission::AdmissionController controller;
  std::vector<std::string> chain_names;
};

enum class Baseline { kRandom, kRoundRobin, kLeastInFlight, kTwoChoicesRaw };

/// Dispatches each job immediately, so that jobs queue inside the endpoints.
class BaselineRouter {
 public:
  BaselineRouter(const RouterSetup& setup, Baseline chosen);

  bool Offer(TimePoint now, const Job& job);
  std::optional<Dispatch> Next(TimePoint now);
  void Finished(TimePoint now, const Job& job, bool complete);
  void Report(std::uint32_t chain, const routing::LoadReport& report);
  std::size_t Tick(TimePoint) { return 0; }
  admission::Usage Served() const { return {}; }
  void MergePeerUsage(TimePoint, std::uint32_t, const admission::Usage&) {}
  std::size_t Waiting() const { return 0; }

 private:
  std::uint32_t Choose();
  double ReportedLoad(std::uint32_t chain) const;

  const std::vector<Chain>* fleet;
  Baseline baseline;
  Random random;
  std::uint32_t turn = 0;
  std::vector<std::uint32_t> in_flight;
  std::vector<routing::LoadReport> reports;
  std::unordered_map<std::uint64_t, std::uint32_t> chain_of;
  std::optional<Dispatch> pending;
};

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_DECISIONS_ROUTERS_H_
