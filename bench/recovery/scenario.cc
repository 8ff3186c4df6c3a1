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
constexpr std::uint32_t kTokens = 60;
/// Every answer has read so many tokens when the fault strikes.
constexpr std::size_t kTokensBefore = 15;
constexpr std::uint64_t kLayerMicros = 1500;
constexpr int kSlowedDelayMs = 50;
/// Between the seeds of two rounds; each answer of a round takes one.
constexpr std::uint64_t kSeedStep = 100;
constexpr std::int64_t kNever = INT64_MAX;

std::int64_t NowMicros() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

const char* Name(Fault fault) {
  switch (fault) {
    case Fault::kStageKilled:
      return "stage killed";
    case Fault::kStageFrozen:
      return "stage frozen";
    case Fault::kConnectionSilenced:
      return "connection silenced";
    case Fault::kLinkSlowed:
      return "link slowed to 50 ms";
    case Fault::kHalfDomainGone:
      return "half a failure domain gone";
    case Fault::kRouterKilled:
      return "router killed, asked again";
  }
  return "";
}

std::string Id(const std::string& role, const std::string& domain, int copy) {
  return role + "-" + domain + "-" + std::to_string(copy);
}

/// One fleet with answers under way and the fault that strikes them.
class Round {
 public:
  Round(const Deployment& played, Fault played_fault, std::uint64_t round_seed)
      : deployment(played), fault(played_fault), seed(round_seed) {
    for (const std::string& domain : this->deployment.domains) {
      const bool own = domain == this->deployment.domains.front();
      const bool pairs = own && this->fault == Fault::kHalfDomainGone;
      for (int copy = 0; copy < (pairs ? 2 : 1); ++copy) {
        this->AddEngine("front", domain, copy, 0, Fleet::kLayers / 2);
        this->AddEngine("back", domain, copy, Fleet::kLayers / 2,
                        Fleet::kLayers);
      }
    }
    this->fleet.AddRouter(this->deployment.domains[0]);
    this->fleet.AddRouter(this->deployment.domains[1]);
    this->fleet.WaitUntilServing();
    this->fleet.DelayCallers(this->deployment.client_delay_ms);
  }

  /// Adds what the answers' callers saw to \p row and \p samples.
  void Run(Row& row, std::vector<Sample>& samples) {
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kAnswersPerRound; ++caller) {
      callers.emplace_back([this, caller, &row, &samples] {
        this->ReadOne(this->seed + caller, row, samples);
      });
    }
    while (this->ready < kAnswersPerRound) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    this->Strike();
    for (std::thread& caller : callers) caller.join();
  }

  Split RouterSplit() const {
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
  void AddEngine(const std::string& role, const std::string& domain, int copy,
                 std::uint32_t begin, std::uint32_t end) {
    EngineSpec spec;
    spec.id = Id(role, domain, copy);
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

  void ReadOne(std::uint64_t answer_seed, Row& row,
               std::vector<Sample>& samples) {
    const std::string prompt = this->Prompt(answer_seed);
    StreamedAnswer answer = this->fleet.Stream(
        0, prompt, kTokens, answer_seed, [this](std::size_t read) {
          this->ready += read == kTokensBefore ? 1 : 0;
          return true;
        });
    if (this->fault == Fault::kRouterKilled) {
      this->AskAgain(prompt, answer_seed, answer);
    }
    const bool right =
        answer.done &&
        answer.tokens == Fleet::Expected(prompt, kTokens, answer_seed);
    const std::lock_guard lock(this->mutex);
    ++row.answers;
    if (!right) {
      ++row.wrong;
      return;
    }
    samples.push_back(SampleOf(answer.token_micros, this->struck_at));
  }

  /// A router keeps answers in memory only, so its callers ask the next entry
  /// instance for the id and, as that knows nothing of it, for the answer
  /// itself, with the same seed; tokens already read are skipped.
  void AskAgain(const std::string& prompt, std::uint64_t answer_seed,
                StreamedAnswer& answer) const {
    const std::size_t had = answer.tokens.size();
    StreamedAnswer rest = this->fleet.Resume(1, answer.id, had);
    if (rest.status != 200) {
      rest = this->fleet.Stream(1, prompt, kTokens, answer_seed);
      if (rest.tokens.size() < had) return;
      const auto skip = static_cast<std::ptrdiff_t>(had);
      rest.tokens.erase(rest.tokens.begin(), rest.tokens.begin() + skip);
      rest.token_micros.erase(rest.token_micros.begin(),
                              rest.token_micros.begin() + skip);
    }
    answer.done = rest.done;
    answer.tokens.insert(answer.tokens.end(), rest.tokens.begin(),
                         rest.tokens.end());
    answer.token_micros.insert(answer.token_micros.end(),
                               rest.token_micros.begin(),
                               rest.token_micros.end());
  }

  void Strike() {
    const std::string& own = this->deployment.domains[0];
    this->struck_at = NowMicros();
    switch (this->fault) {
      case Fault::kStageKilled:
        return this->fleet.Engine(Id("back", own, 0)).Kill();
      case Fault::kStageFrozen:
        return this->fleet.Engine(Id("back", own, 0)).Signal(SIGSTOP);
      case Fault::kConnectionSilenced:
        return this->fleet.RelayFault(Id("front", own, 0),
                                      {{"silence", "open"}});
      case Fault::kLinkSlowed:
        return this->fleet.RelayFault(Id("back", own, 0),
                                      {{"delay_ms", kSlowedDelayMs}});
      case Fault::kHalfDomainGone:
        this->fleet.Engine(Id("front", own, 0)).Kill();
        return this->fleet.Engine(Id("back", own, 0)).Kill();
      case Fault::kRouterKilled:
        return this->fleet.Router(0).Kill();
    }
  }

  const Deployment& deployment;
  Fault fault;
  std::uint64_t seed;
  Fleet fleet;
  std::atomic<int> ready{0};
  std::atomic<std::int64_t> struck_at{kNever};
  std::mutex mutex;
};

void AddTo(Split& sum, const Split& more) {
  sum.noticing_ms += more.noticing_ms;
  sum.replanning_ms += more.replanning_ms;
  sum.resuming_ms += more.resuming_ms;
}

}  // namespace

std::vector<Fault> AllFaults() {
  return {Fault::kStageKilled,        Fault::kStageFrozen,
          Fault::kConnectionSilenced, Fault::kLinkSlowed,
          Fault::kHalfDomainGone,     Fault::kRouterKilled};
}

Row Play(const Deployment& deployment, Fault fault, int rounds,
         std::uint64_t seed) {
  Row row;
  row.deployment = deployment.name;
  row.fault = Name(fault);
  std::vector<Sample> samples;
  Split sum;
  for (int number = 0; number < rounds; ++number) {
    Round round(deployment, fault,
                seed + kSeedStep * static_cast<std::uint64_t>(number));
    round.Run(row, samples);
    AddTo(sum, round.RouterSplit());
  }
  std::vector<std::int64_t> next_token;
  std::vector<std::int64_t> old_pace;
  for (const Sample& sample : samples) {
    next_token.push_back(sample.next_token);
    old_pace.push_back(sample.old_pace);
  }
  row.next_token = SpreadOf(next_token);
  row.old_pace = SpreadOf(old_pace);
  row.split = {sum.noticing_ms / rounds, sum.replanning_ms / rounds,
               sum.resuming_ms / rounds};
  return row;
}

}  // namespace toucanwharf::bench
