#include "test/soak/plan.h"

#include <array>

#include "toucanwharf/support/random.h"

namespace toucanwharf::soak {
namespace {

using standins::fleet::EndpointFault;
using standins::fleet::StoreFault;

/// Kinds as often as they stand here.
constexpr std::array kKinds = {
    FaultKind::kKill,      FaultKind::kKill,       FaultKind::kSuspend,
    FaultKind::kStop,      FaultKind::kStop,       FaultKind::kReload,
    FaultKind::kStore,     FaultKind::kStore,      FaultKind::kLinkDelayed,
    FaultKind::kLinkReset, FaultKind::kLinkSilent, FaultKind::kEndpoint,
    FaultKind::kEndpoint,  FaultKind::kEndpoint,   FaultKind::kRevocation};

constexpr std::array kStoreFaults = {StoreFault::kBusy, StoreFault::kReset,
                                     StoreFault::kSilent,
                                     StoreFault::kLosesAnswers};

constexpr std::array kEndpointFaults = {EndpointFault::kDark,
                                        EndpointFault::kFull,
                                        EndpointFault::kLosesAnswers,
                                        EndpointFault::kFails,
                                        EndpointFault::kSendsOthersAnswer,
                                        EndpointFault::kBreaksEvent,
                                        EndpointFault::kRefusesRepath};

constexpr std::array kEndpoints = {"domain-a-0", "domain-a-1", "domain-a-2",
                                   "domain-a-4", "domain-b-0", "domain-b-3",
                                   "plain-0",    "plain-1"};

constexpr std::array kNames = {
    "kill",         "suspend",    "stop",        "reload",   "store",
    "link delayed", "link reset", "link silent", "endpoint", "revocation"};

template <typename Array>
auto Draw(const Array& from, Random& random) {
  return from[random.Below(from.size())];
}

}  // namespace

std::vector<Fault> PlanFaults(const SoakSettings& settings) {
  Random random(settings.seed);
  std::vector<Fault> faults;
  std::int64_t at = 300;
  while (at < settings.length_ms) {
    Fault fault;
    fault.kind = Draw(kKinds, random);
    fault.router = random.Below(settings.routers);
    fault.at_ms = at;
    fault.for_ms = 100 + static_cast<std::int64_t>(random.Below(4000));
    fault.store = Draw(kStoreFaults, random);
    fault.endpoint_fault = Draw(kEndpointFaults, random);
    fault.endpoint = Draw(kEndpoints, random);
    faults.push_back(fault);
    // Now and then some come at the same moment.
    const bool together = random.Below(4) == 0;
    const auto mean = static_cast<std::uint64_t>(settings.fault_every_ms);
    if (!together) at += static_cast<std::int64_t>(random.Below(2 * mean));
  }
  return faults;
}

std::string Describe(const Fault& fault) {
  std::string text = std::to_string(fault.at_ms) + " ms, for " +
                     std::to_string(fault.for_ms) +
                     " ms: " + kNames[static_cast<std::size_t>(fault.kind)];
  if (fault.kind == FaultKind::kEndpoint) {
    return text + " " + fault.endpoint + " fault " +
           std::to_string(static_cast<int>(fault.endpoint_fault));
  }
  if (fault.kind == FaultKind::kRevocation) return text;
  text += " router " + std::to_string(fault.router);
  if (fault.kind == FaultKind::kStore) {
    text += " fault " + std::to_string(static_cast<int>(fault.store));
  }
  return text;
}

}  // namespace toucanwharf::soak
