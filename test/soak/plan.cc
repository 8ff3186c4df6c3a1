#include "test/soak/plan.h"

#include <algorithm>
#include <array>

#include "toucanwharf/support/random.h"

namespace toucanwharf::soak {
namespace {

using standins::fleet::AnswerFault;
using standins::fleet::CrashForm;
using standins::fleet::EndpointFault;
using standins::fleet::StoreFault;

/// Kinds of fault, each with a weight equal to its number of occurrences.
constexpr std::array kKinds = {
    FaultKind::kKill,      FaultKind::kKill,           FaultKind::kSuspend,
    FaultKind::kStop,      FaultKind::kStop,           FaultKind::kReload,
    FaultKind::kStore,     FaultKind::kStore,          FaultKind::kLinkDelayed,
    FaultKind::kLinkReset, FaultKind::kLinkBlackholed, FaultKind::kEndpoint,
    FaultKind::kEndpoint,  FaultKind::kEndpoint,       FaultKind::kRevocation};

constexpr std::array kStoreFaults = {StoreFault::kBusy, StoreFault::kReset,
                                     StoreFault::kUnresponsive,
                                     StoreFault::kLosesAnswers};

constexpr std::array kEndpointFaults = {
    EndpointFault::kUnresponsive,       EndpointFault::kFull,
    EndpointFault::kLosesAnswers,       EndpointFault::kFails,
    EndpointFault::kSendsForeignAnswer, EndpointFault::kTruncatesEvent,
    EndpointFault::kRefusesReroute};

/// Answers of bad form, and what sound clients of engines must not relay.
constexpr std::array kBadAnswers = {
    EndpointFault::kRejectsResumed, EndpointFault::kIgnoresLastEvent,
    EndpointFault::kSendsWithoutEnd, EndpointFault::kFailsWithoutEnd};

constexpr std::array kAnswerFaults = {
    AnswerFault::kEndlessHead,     AnswerFault::kEndlessChunkLine,
    AnswerFault::kEndlessEvent,    AnswerFault::kEndlessBody,
    AnswerFault::kEndlessFailure,  AnswerFault::kTwice,
    AnswerFault::kTwiceLater,      AnswerFault::kTwiceUnframed,
    AnswerFault::kUnframedInParts, AnswerFault::kUnframedCutByCrash};

constexpr std::array kCrashForms = {CrashForm::kWhileWriting,
                                    CrashForm::kBeforeHead, CrashForm::kSilent,
                                    CrashForm::kAtLastEngine};

constexpr std::array kEndpoints = {"domain-a-0", "domain-a-1", "domain-a-2",
                                   "domain-a-4", "domain-b-0", "domain-b-3",
                                   "plain-0",    "plain-1"};

constexpr std::array kNames = {"kill",
                               "suspend",
                               "stop",
                               "reload",
                               "store",
                               "link delayed",
                               "link reset",
                               "link blackholed",
                               "endpoint",
                               "revocation",
                               "crashing request",
                               "endpoint limit",
                               "paths silent",
                               "paths reset",
                               "endpoint pause",
                               "store return",
                               "crashing part",
                               "stopped engines",
                               "stopped plain endpoints",
                               "odd entry",
                               "crowd",
                               "faulty answers",
                               "answers reset",
                               "planned stop",
                               "slow endpoint",
                               "burst"};

constexpr std::array kPlainEndpoints = {"plain-0", "plain-1"};

template <typename Array>
auto Draw(const Array& from, Random& random) {
  return from[random.Below(from.size())];
}

/// Adds faults of \p kind, drawn apart from the others, so that a seed without
/// them keeps its faults.
void AddApart(FaultKind kind, const SoakSettings& settings,
              std::vector<Fault>& faults) {
  constexpr int kCount = 2;
  Random random(MixBits(settings.seed + static_cast<std::uint64_t>(kind)));
  for (int i = 0; i < kCount; ++i) {
    Fault fault;
    fault.kind = kind;
    fault.at_ms = static_cast<std::int64_t>(
        random.Below(static_cast<std::uint64_t>(settings.duration_ms)));
    fault.duration_ms = 2000 + static_cast<std::int64_t>(random.Below(6000));
    fault.endpoint = Draw(kEndpoints, random);
    fault.router = random.Below(settings.routers);
    fault.limit = 0.5 + static_cast<double>(random.Below(8));
    faults.push_back(fault);
  }
}

/// Adds kills of all routers at one moment, which are back within 0.4 s of one
/// another.
void AddFleetRestarts(const SoakSettings& settings,
                      std::vector<Fault>& faults) {
  constexpr int kCount = 2;
  constexpr std::uint64_t kStream = 1000;
  Random random(MixBits(settings.seed + kStream));
  for (int i = 0; i < kCount; ++i) {
    Fault fault;
    fault.kind = FaultKind::kKill;
    fault.at_ms = static_cast<std::int64_t>(
        random.Below(static_cast<std::uint64_t>(settings.duration_ms)));
    const auto away_ms = 200 + static_cast<std::int64_t>(random.Below(2000));
    for (fault.router = 0; fault.router < settings.routers; ++fault.router) {
      fault.duration_ms =
          away_ms + static_cast<std::int64_t>(random.Below(400));
      faults.push_back(fault);
    }
  }
}

/// Adds stops of endpoints of 0.3 to 3 s, and answers of bad form beside them.
void AddEndpointStops(const SoakSettings& settings,
                      std::vector<Fault>& faults) {
  constexpr std::int64_t kMeanIntervalMs = 1500;
  constexpr std::uint64_t kStream = 2000;
  Random random(MixBits(settings.seed + kStream));
  for (std::int64_t at_ms = 500; at_ms < settings.duration_ms;
       at_ms +=
       200 + static_cast<std::int64_t>(random.Below(2UL * kMeanIntervalMs))) {
    Fault fault;
    fault.at_ms = at_ms;
    const auto kind = random.Below(3);
    fault.kind = kind == 0   ? FaultKind::kStoppedPlain
                 : kind == 1 ? FaultKind::kEndpoint
                             : FaultKind::kStoppedEngines;
    fault.duration_ms = 300 + static_cast<std::int64_t>(random.Below(2700));
    fault.tenths =
        random.Below(2) == 0 ? 10 : 1 + static_cast<int>(random.Below(9));
    fault.endpoint = Draw(kEndpoints, random);
    fault.endpoint_fault = Draw(kBadAnswers, random);
    faults.push_back(fault);
  }
}

/// Adds faults of \p kind that last for 0.3 to 4 s, several at a time, drawn
/// from the numbers of \p stream.
void AddOverlapping(FaultKind kind, std::uint64_t stream,
                    const SoakSettings& settings, std::vector<Fault>& faults) {
  constexpr std::uint64_t kMeanIntervalMs = 600;
  Random random(MixBits(settings.seed + stream));
  for (std::int64_t at_ms = 0; at_ms < settings.duration_ms;
       at_ms += static_cast<std::int64_t>(random.Below(2 * kMeanIntervalMs))) {
    Fault fault;
    fault.kind = kind;
    fault.at_ms = at_ms;
    fault.duration_ms = 300 + static_cast<std::int64_t>(random.Below(3700));
    fault.text = random();
    fault.router = fault.text % settings.routers;
    faults.push_back(fault);
  }
}

/// Adds faults of answers, half of them at plain endpoints: those that are cut
/// have resets of connections in their middle, and some that are endless a
/// burst of requests.
void AddFaultyAnswers(const SoakSettings& settings,
                      std::vector<Fault>& faults) {
  constexpr std::uint64_t kStream = 6000;
  constexpr std::uint64_t kMeanIntervalMs = 500;
  constexpr std::int64_t kResetMs = 50;
  Random random(MixBits(settings.seed + kStream));
  for (std::int64_t at_ms = 300; at_ms < settings.duration_ms;
       at_ms += static_cast<std::int64_t>(random.Below(2 * kMeanIntervalMs))) {
    Fault fault;
    fault.kind = FaultKind::kFaultyAnswers;
    fault.at_ms = at_ms;
    fault.duration_ms = 300 + static_cast<std::int64_t>(random.Below(2700));
    fault.endpoint = random.Below(2) == 0 ? Draw(kPlainEndpoints, random)
                                          : Draw(kEndpoints, random);
    fault.answer_fault = Draw(kAnswerFaults, random);
    fault.router = random.Below(settings.routers);
    const bool bursts = random.Below(4) == 0;
    faults.push_back(fault);
    const bool endless = fault.answer_fault <= AnswerFault::kEndlessFailure;
    if (endless && bursts) {
      fault.kind = FaultKind::kBurst;
      faults.push_back(fault);
    }
    if (fault.answer_fault != AnswerFault::kUnframedInParts) continue;
    fault.kind = FaultKind::kAnswersReset;
    fault.at_ms += fault.duration_ms / 2;
    fault.duration_ms = kResetMs;
    faults.push_back(fault);
  }
}

bool EndsProcess(const Fault& fault) {
  return fault.kind == FaultKind::kKill || fault.kind == FaultKind::kStop ||
         fault.kind == FaultKind::kSuspend;
}

/// Adds a planned stop of two routers, beside a slow endpoint, and leaves out
/// what else would end or suspend them at about the time.
void AddPlannedStops(const SoakSettings& settings, std::vector<Fault>& faults) {
  constexpr std::uint64_t kStream = 7000;
  constexpr std::int64_t kApartMs = 5000;
  Random random(MixBits(settings.seed + kStream));
  const std::size_t first = random.Below(settings.routers);
  for (std::size_t number = 0; number < 2; ++number) {
    Fault fault;
    fault.kind = FaultKind::kPlannedStop;
    fault.router = (first + number) % settings.routers;
    fault.at_ms = 500 + static_cast<std::int64_t>(random.Below(
                            static_cast<std::uint64_t>(settings.duration_ms)));
    fault.duration_ms = kStopMs;
    std::erase_if(faults, [&](const Fault& other) {
      return EndsProcess(other) && other.router == fault.router &&
             other.at_ms < fault.at_ms + kStopMs + kApartMs &&
             other.at_ms + other.duration_ms > fault.at_ms - kApartMs;
    });
    faults.push_back(fault);
    fault.kind = FaultKind::kSlowEndpoint;
    fault.endpoint = kPlainEndpoints[number];
    faults.push_back(fault);
  }
}

/// Varies how the crashing requests among \p faults crash engines.
void VaryCrashForms(const SoakSettings& settings, std::vector<Fault>& faults) {
  constexpr std::uint64_t kStream = 4000;
  Random random(MixBits(settings.seed + kStream));
  for (Fault& fault : faults) {
    const bool crashes = fault.kind == FaultKind::kCrashingRequest ||
                         fault.kind == FaultKind::kCrashingPart;
    if (crashes) fault.crash_form = Draw(kCrashForms, random);
  }
}

}  // namespace

std::vector<Fault> PlanFaults(const SoakSettings& settings) {
  Random random(settings.seed);
  std::vector<Fault> faults;
  std::int64_t time_ms = 300;
  while (time_ms < settings.duration_ms) {
    Fault fault;
    fault.kind = Draw(kKinds, random);
    fault.router = random.Below(settings.routers);
    fault.at_ms = time_ms;
    fault.duration_ms = 100 + static_cast<std::int64_t>(random.Below(4000));
    fault.store = Draw(kStoreFaults, random);
    fault.endpoint_fault = Draw(kEndpointFaults, random);
    fault.endpoint = Draw(kEndpoints, random);
    faults.push_back(fault);
    // One fault in four starts together with the next one.
    const bool together = random.Below(4) == 0;
    const auto mean =
        static_cast<std::uint64_t>(settings.mean_fault_interval_ms);
    if (!together) time_ms += static_cast<std::int64_t>(random.Below(2 * mean));
  }
  if (settings.crashing_requests) {
    AddApart(FaultKind::kCrashingRequest, settings, faults);
  }
  if (settings.endpoint_limits) {
    AddApart(FaultKind::kEndpointLimit, settings, faults);
  }
  if (settings.cut_paths) {
    AddApart(FaultKind::kPathsSilent, settings, faults);
    AddApart(FaultKind::kPathsReset, settings, faults);
  }
  if (settings.endpoint_pauses) {
    AddApart(FaultKind::kEndpointPause, settings, faults);
  }
  if (settings.store_returns) {
    AddApart(FaultKind::kStoreReturn, settings, faults);
  }
  if (settings.crashing_parts) {
    AddApart(FaultKind::kCrashingPart, settings, faults);
  }
  if (settings.fleet_restarts) AddFleetRestarts(settings, faults);
  if (settings.endpoint_stops) AddEndpointStops(settings, faults);
  constexpr std::uint64_t kOddEntries = 3000;
  constexpr std::uint64_t kCrowds = 5000;
  if (settings.odd_entries) {
    AddOverlapping(FaultKind::kOddEntry, kOddEntries, settings, faults);
  }
  if (settings.crowds) {
    AddOverlapping(FaultKind::kCrowd, kCrowds, settings, faults);
  }
  if (settings.faulty_answers) AddFaultyAnswers(settings, faults);
  if (settings.planned_stops) AddPlannedStops(settings, faults);
  if (settings.crash_forms) VaryCrashForms(settings, faults);
  return faults;
}

std::string Describe(const Fault& fault) {
  std::string text = std::to_string(fault.at_ms) + " ms, for " +
                     std::to_string(fault.duration_ms) +
                     " ms: " + kNames[static_cast<std::size_t>(fault.kind)];
  if (fault.kind == FaultKind::kFaultyAnswers) {
    return text + " " + fault.endpoint + " fault " +
           std::to_string(static_cast<int>(fault.answer_fault));
  }
  if (fault.kind == FaultKind::kEndpointPause ||
      fault.kind == FaultKind::kAnswersReset ||
      fault.kind == FaultKind::kSlowEndpoint) {
    return text + " " + fault.endpoint;
  }
  if (fault.kind == FaultKind::kEndpoint) {
    return text + " " + fault.endpoint + " fault " +
           std::to_string(static_cast<int>(fault.endpoint_fault));
  }
  if (fault.kind == FaultKind::kEndpointLimit) {
    return text + " " + fault.endpoint + " " + std::to_string(fault.limit);
  }
  const bool stops = fault.kind == FaultKind::kStoppedEngines ||
                     fault.kind == FaultKind::kStoppedPlain;
  if (stops) return text + " " + std::to_string(fault.tenths) + " of ten";
  if (fault.kind == FaultKind::kOddEntry || fault.kind == FaultKind::kCrowd) {
    return text + " " + std::to_string(fault.text);
  }
  if (fault.crash_form != CrashForm::kWhileWriting) {
    return text + " form " + std::to_string(static_cast<int>(fault.crash_form));
  }
  const bool of_no_router = fault.kind == FaultKind::kRevocation ||
                            fault.kind == FaultKind::kCrashingRequest ||
                            fault.kind == FaultKind::kCrashingPart ||
                            fault.kind == FaultKind::kStoreReturn;
  if (of_no_router) return text;
  text += " router " + std::to_string(fault.router);
  if (fault.kind == FaultKind::kStore) {
    text += " fault " + std::to_string(static_cast<int>(fault.store));
  }
  return text;
}

}  // namespace toucanwharf::soak
