#include "bench/recovery/scenario.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "standins/token_model.h"
#include "test/process/fixture.h"

namespace toucanwharf::bench {
namespace {

using process_test::EngineSpec;
using process_test::Fleet;
using process_test::StreamedAnswer;

constexpr int kAnswersPerRound = 3;
constexpr std::uint32_t kAnswerTokens = 60;
/// The fault is injected after each caller has read this many tokens.
constexpr std::size_t kTokensBeforeFault = 15;
constexpr std::uint64_t kLayerMicros = 1500;
constexpr int kSlowedDelayMs = 50;
/// Distance of the seeds of two rounds; each answer of a round uses one seed.
constexpr std::uint64_t kSeedStep = 100;
constexpr std::int64_t kNever = INT64_MAX;

std::int64_t NowMicros() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

const char* FaultName(Fault fault) {
  switch (fault) {
    case Fault::kStageKilled:
      return "stage killed";
    case Fault::kStageFrozen:
      return "stage frozen";
    case Fault::kConnectionStalled:
      return "connection silenced";
    case Fault::kLinkSlowed:
      return "link slowed to 50 ms";
    case Fault::kHalfDomainKilled:
      return "half a failure domain gone";
    case Fault::kRouterKilled:
      return "router killed, asked again";
  }
  return "";
}

std::string EngineId(const std::string& role, const std::string& domain,
                     int replica) {
  return role + "-" + domain + "-" + std::to_string(replica);
}

/// One fleet, its answers in flight and the fault to inject.
class Round {
 public:
  Round(const Deployment& run_deployment, Fault run_fault,
        std::uint64_t round_seed)
      : deployment(run_deployment), fault(run_fault), seed(round_seed) {
    for (const std::string& domain : this->deployment.domains) {
      const bool in_first_domain = domain == this->deployment.domains.front();
      const bool two_replicas =
          in_first_domain && this->fault == Fault::kHalfDomainKilled;
      for (int replica = 0; replica < (two_replicas ? 2 : 1); ++replica) {
        this->AddEngine("front", domain, replica, 0, Fleet::kLayers / 2);
        this->AddEngine("back", domain, replica, Fleet::kLayers / 2,
                        Fleet::kLayers);
      }
    }
    this->fleet.AddRouter(this->deployment.domains[0]);
    this->fleet.AddRouter(this->deployment.domains[1]);
    this->fleet.WaitUntilServing();
    this->fleet.DelayCallers(this->deployment.client_delay_ms);
  }

  /// Streams the answers, injects the fault and adds the results to \p row and
  /// \p samples.
  void Run(Row& row, std::vector<Sample>& samples) {
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kAnswersPerRound; ++caller) {
      callers.emplace_back([this, caller, &row, &samples] {
        this->ReadAnswer(this->seed + caller, row, samples);
      });
    }
    while (this->callers_ready < kAnswersPerRound) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    this->InjectFault();
    for (std::thread& caller : callers) caller.join();
  }

  RecoveryPhases RouterPhases() const {
    const auto mean = [this](const std::string& part) {
      const std::string name = "toucanwharf_recovery_" + part + "_seconds";
      const double count = this->fleet.Metric(0, name + "_count");
      if (count == 0) return 0.0;
      return 1000 * this->fleet.Metric(0, name + "_sum") / count;
    };
    if (this->fault == Fault::kRouterKilled) return {};
    return {mean("noticing"), mean("replanning"), mean("resuming")};
  }

 private:
  void AddEngine(const std::string& role, const std::string& domain,
                 int replica, std::uint32_t begin, std::uint32_t end) {
    EngineSpec spec;
    spec.id = EngineId(role, domain, replica);
    spec.failure_domain = domain;
    spec.begin = begin;
    spec.end = end;
    spec.layer_micros = kLayerMicros;
    spec.behind_relay = true;
    this->fleet.AddEngine(spec);
  }

  std::string Prompt(std::uint64_t answer_seed) const {
    std::string prompt = "Answer " + std::to_string(answer_seed) + ": ";
    prompt.resize(this->deployment.prompt_tokens * standins::kBytesPerToken,
                  'x');
    return prompt;
  }

  void ReadAnswer(std::uint64_t answer_seed, Row& row,
                  std::vector<Sample>& samples) {
    const std::string prompt = this->Prompt(answer_seed);
    StreamedAnswer answer = this->fleet.Stream(
        0, prompt, kAnswerTokens, answer_seed, [this](std::size_t read) {
          this->callers_ready += read == kTokensBeforeFault ? 1 : 0;
          return true;
        });
    if (this->fault == Fault::kRouterKilled) {
      this->RetryAtNextRouter(prompt, answer_seed, answer);
    }
    const bool correct =
        answer.done &&
        answer.tokens == Fleet::Expected(prompt, kAnswerTokens, answer_seed);
    const std::lock_guard lock(this->mutex);
    ++row.answers;
    if (!correct) {
      ++row.wrong;
      return;
    }
    samples.push_back(MakeSample(answer.token_micros, this->fault_micros));
  }

  /// A router keeps answers in memory only. Its callers therefore try to resume
  /// the answer by id at the next entry instance and, as that one does not know
  /// the id, repeat the request with the same seed and skip the tokens that
  /// they have already read.
  void RetryAtNextRouter(const std::string& prompt, std::uint64_t answer_seed,
                         StreamedAnswer& answer) const {
    const std::size_t read_count = answer.tokens.size();
    StreamedAnswer remainder = this->fleet.Resume(1, answer.id, read_count);
    if (remainder.status != 200) {
      remainder = this->fleet.Stream(1, prompt, kAnswerTokens, answer_seed);
      if (remainder.tokens.size() < read_count) return;
      const auto read_offset = static_cast<std::ptrdiff_t>(read_count);
      remainder.tokens.erase(remainder.tokens.begin(),
                             remainder.tokens.begin() + read_offset);
      remainder.token_micros.erase(
          remainder.token_micros.begin(),
          remainder.token_micros.begin() + read_offset);
    }
    answer.done = remainder.done;
    answer.tokens.insert(answer.tokens.end(), remainder.tokens.begin(),
                         remainder.tokens.end());
    answer.token_micros.insert(answer.token_micros.end(),
                               remainder.token_micros.begin(),
                               remainder.token_micros.end());
  }

  void InjectFault() {
    const std::string& first_domain = this->deployment.domains[0];
    this->fault_micros = NowMicros();
    switch (this->fault) {
      case Fault::kStageKilled:
        return this->fleet.Engine(EngineId("back", first_domain, 0)).Kill();
      case Fault::kStageFrozen:
        return this->fleet.Engine(EngineId("back", first_domain, 0))
            .Signal(SIGSTOP);
      case Fault::kConnectionStalled:
        return this->fleet.RelayFault(EngineId("front", first_domain, 0),
                                      {{"silence", "open"}});
      case Fault::kLinkSlowed:
        return this->fleet.RelayFault(EngineId("back", first_domain, 0),
                                      {{"delay_ms", kSlowedDelayMs}});
      case Fault::kHalfDomainKilled:
        this->fleet.Engine(EngineId("front", first_domain, 0)).Kill();
        return this->fleet.Engine(EngineId("back", first_domain, 0)).Kill();
      case Fault::kRouterKilled:
        return this->fleet.Router(0).Kill();
    }
  }

  const Deployment& deployment;
  Fault fault;
  std::uint64_t seed;
  Fleet fleet;
  std::atomic<int> callers_ready{0};
  std::atomic<std::int64_t> fault_micros{kNever};
  std::mutex mutex;
};

void AddPhases(RecoveryPhases& sum, const RecoveryPhases& phases) {
  sum.detection_ms += phases.detection_ms;
  sum.replanning_ms += phases.replanning_ms;
  sum.resumption_ms += phases.resumption_ms;
}

}  // namespace

std::vector<Fault> AllFaults() {
  return {Fault::kStageKilled,       Fault::kStageFrozen,
          Fault::kConnectionStalled, Fault::kLinkSlowed,
          Fault::kHalfDomainKilled,  Fault::kRouterKilled};
}

Row RunFault(const Deployment& deployment, Fault fault, int rounds,
             std::uint64_t seed) {
  Row row;
  row.deployment = deployment.name;
  row.fault = FaultName(fault);
  std::vector<Sample> samples;
  RecoveryPhases sum;
  for (int number = 0; number < rounds; ++number) {
    Round round(deployment, fault,
                seed + kSeedStep * static_cast<std::uint64_t>(number));
    round.Run(row, samples);
    AddPhases(sum, round.RouterPhases());
  }
  std::vector<std::int64_t> next_token;
  std::vector<std::int64_t> pace_restored;
  for (const Sample& sample : samples) {
    next_token.push_back(sample.next_token);
    pace_restored.push_back(sample.pace_restored);
  }
  row.next_token = QuantilesOf(next_token);
  row.pace_restored = QuantilesOf(pace_restored);
  row.phases = {sum.detection_ms / rounds, sum.replanning_ms / rounds,
                sum.resumption_ms / rounds};
  return row;
}

}  // namespace toucanwharf::bench
