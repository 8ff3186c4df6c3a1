// Compares ways to run a non-idempotent call at most once, on a virtual clock,
// against a store with the platform's limits: 400 writes and 2,000 reads per
// second, 3 ms latency. The results are deterministic.

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "toucanwharf/once/shard.h"
#include "toucanwharf/support/random.h"
#include "unittests/fakes/object_map.h"

namespace toucanwharf {
namespace {

using fakes::Fault;
using fakes::ObjectMap;

constexpr Duration kWriteTime{2500};
constexpr Duration kReadTime{500};
constexpr Duration kLatency{3000};
constexpr Duration kForwardDelay{1000};
constexpr Duration kServiceTime{5000};
constexpr Duration kCallerTimeout{std::chrono::seconds(3)};
constexpr Duration kRunTime{std::chrono::seconds(20)};
constexpr Duration kPollInterval{2000};
constexpr std::uint64_t kSeed = 20261202;
constexpr std::size_t kRouters = 6;
constexpr std::uint32_t kShards = 4;
constexpr std::size_t kOutcomeBytes = 200;

/// Runs tasks in the order of their virtual time.
class Scheduler {
 public:
  TimePoint Now() const { return this->now; }
  void At(TimePoint when, std::function<void()> task) {
    this->tasks.push(Task{when, ++this->order, std::move(task)});
  }
  void RunUntil(TimePoint end) {
    while (!this->tasks.empty() && this->tasks.top().when <= end) {
      const Task item = this->tasks.top();
      this->tasks.pop();
      this->now = item.when;
      item.task();
    }
    this->now = end;
  }

 private:
  struct Task {
    TimePoint when;
    std::uint64_t order;
    std::function<void()> task;
    bool operator<(const Task& other) const {
      return other.when < this->when ||
             (other.when == this->when && other.order < this->order);
    }
  };
  std::priority_queue<Task> tasks;
  TimePoint now;
  std::uint64_t order = 0;
};

/// A rate-limited store: reads are served one at a time, and so are writes.
class LimitedStore {
 public:
  explicit LimitedStore(Scheduler& run_scheduler) : scheduler(run_scheduler) {}

  void Write(const store::Write& write,
             std::function<void(store::WriteAnswer)> done) {
    ++this->writes;
    this->bytes += write.value.size();
    this->write_free =
        std::max(this->write_free, this->scheduler.Now()) + kWriteTime;
    this->scheduler.At(this->write_free, [this, write, done] {
      const store::WriteAnswer answer = this->map.Write(write, Fault::kNone);
      if (answer.status == store::WriteStatus::kConflict) ++this->conflicts;
      this->scheduler.At(this->scheduler.Now() + kLatency,
                         [done, answer] { done(answer); });
    });
  }

  void Read(const store::ObjectKey& key,
            std::function<void(store::ReadAnswer)> done) {
    ++this->reads;
    this->read_free =
        std::max(this->read_free, this->scheduler.Now()) + kReadTime;
    this->scheduler.At(this->read_free, [this, key, done] {
      const store::ReadAnswer answer = this->map.Read(key, Fault::kNone);
      this->scheduler.At(this->scheduler.Now() + kLatency,
                         [done, answer] { done(answer); });
    });
  }

  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t bytes = 0;

 private:
  Scheduler& scheduler;
  ObjectMap map;
  TimePoint write_free;
  TimePoint read_free;
};

/// Results of the calls as seen by the callers.
struct CallerResults {
  std::vector<Duration> waits;
  std::uint64_t refused = 0;
};

/// Schedules calls of \p arrive with 0, 1, 2... at the times of a Poisson
/// process with \p rate arrivals per second.
void ScheduleArrivals(Scheduler& scheduler, double rate,
                      const std::function<void(std::uint64_t)>& arrive) {
  Random random(kSeed);
  TimePoint when;
  for (std::uint64_t number = 0;; ++number) {
    const double gap = -std::log(1.0 - random.Unit()) / rate * 1e6;
    when = when + Duration(static_cast<Duration::rep>(gap));
    if (when > TimePoint{kRunTime}) return;
    scheduler.At(when, [arrive, number] { arrive(number); });
  }
}

/// (a) One object per key: created before the call is sent, updated with its
/// outcome.
void RunObjectPerKey(Scheduler& scheduler, LimitedStore& store, double rate,
                     CallerResults& results) {
  const auto arrive = [&](std::uint64_t number) {
    const std::string name = "k" + std::to_string(number);
    const TimePoint start = scheduler.Now();
    const store::Write claim{{"once", name}, "c" + name, {}, "{}"};
    store.Write(claim, [&, name, start](const store::WriteAnswer& answer) {
      const Duration wait = scheduler.Now() - start;
      if (wait > kCallerTimeout) {
        ++results.refused;
        return;
      }
      results.waits.push_back(wait);
      const store::Write outcome{{"once", name},
                                 "o" + name,
                                 answer.version,
                                 std::string(kOutcomeBytes, 'x')};
      scheduler.At(scheduler.Now() + kServiceTime, [&store, outcome] {
        store.Write(outcome, [](const store::WriteAnswer&) {});
      });
    });
  };
  ScheduleArrivals(scheduler, rate, arrive);
  scheduler.RunUntil(TimePoint{kRunTime + kCallerTimeout});
}

/// (b) The journal: either each router writes the claims that it receives, or
/// only the owner of a shard writes its claims.
class JournalRun {
 public:
  JournalRun(Scheduler& run_scheduler, LimitedStore& limited_store,
             CallerResults& caller_results, bool write_by_owner)
      : scheduler(run_scheduler),
        store(limited_store),
        results(caller_results),
        by_owner(write_by_owner) {
    for (std::size_t router = 0; router < kRouters; ++router) {
      for (std::uint32_t shard = 0; shard < kShards; ++shard) {
        this->shards.emplace_back(once::ShardSettings{}, shard,
                                  "w" + std::to_string(router));
      }
    }
  }

  void Run(double rate) {
    ScheduleArrivals(this->scheduler, rate, [this](std::uint64_t number) {
      this->HandleArrival(number);
    });
    this->PollAll();
    this->scheduler.RunUntil(TimePoint{kRunTime + kCallerTimeout});
  }

 private:
  std::uint64_t WallMillis() const {
    const auto passed = this->scheduler.Now().since_start.count() / 1000;
    return 1'000'000 + static_cast<std::uint64_t>(passed);
  }

  void HandleArrival(std::uint64_t number) {
    const std::uint64_t hash = MixBits(number);
    const std::size_t shard = hash % kShards;
    const std::size_t router = this->by_owner ? shard : (hash >> 32) % kRouters;
    const std::string key = "k" + std::to_string(number);
    const TimePoint start = this->scheduler.Now();
    this->started[key] = start;
    const once::ClaimRequest request{key, key, "d", this->WallMillis(),
                                     start + kCallerTimeout};
    const std::size_t index = router * kShards + shard;
    const Duration forward_delay = this->by_owner ? kForwardDelay : Duration(0);
    this->scheduler.At(start + forward_delay, [this, index, request] {
      this->shards[index].Claim(request);
      this->PollShard(index);
    });
  }

  void PollAll() {
    for (std::size_t index = 0; index < this->shards.size(); ++index) {
      this->PollShard(index);
    }
    this->scheduler.At(this->scheduler.Now() + kPollInterval,
                       [this] { this->PollAll(); });
  }

  void PollShard(std::size_t index) {
    once::Shard& shard = this->shards[index];
    const auto call = shard.Poll(this->scheduler.Now(), this->WallMillis());
    this->HandleDecisions(index);
    if (!call.has_value()) return;
    if (const auto* write = std::get_if<store::Write>(&*call)) {
      const auto on_write = [this, index](const store::WriteAnswer& answer) {
        this->shards[index].OnWrite(answer);
        this->PollShard(index);
      };
      this->store.Write(*write, on_write);
      return;
    }
    const auto on_read = [this, index](const store::ReadAnswer& answer) {
      this->shards[index].OnRead(answer);
      this->PollShard(index);
    };
    this->store.Read(std::get<store::ObjectKey>(*call), on_read);
  }

  void HandleDecisions(std::size_t index) {
    for (const auto& decision : this->shards[index].TakeDecisions()) {
      if (!std::holds_alternative<once::Granted>(decision.verdict)) {
        ++this->results.refused;
        continue;
      }
      const Duration return_delay =
          this->by_owner ? kForwardDelay : Duration(0);
      this->results.waits.push_back(this->scheduler.Now() + return_delay -
                                    this->started[decision.claim]);
      const std::string key = decision.claim;
      this->scheduler.At(
          this->scheduler.Now() + kServiceTime,
          [this, index, key] { this->RecordOutcome(index, key); });
    }
  }

  void RecordOutcome(std::size_t index, const std::string& key) {
    const once::Outcome outcome{200, "application/json",
                                std::string(kOutcomeBytes, 'x'), true};
    this->shards[index].RecordOutcome(
        once::Entry{key, key, "", once::KeyState::kDone, outcome},
        this->scheduler.Now());
  }

  Scheduler& scheduler;
  LimitedStore& store;
  CallerResults& results;
  bool by_owner;
  std::vector<once::Shard> shards;
  std::map<std::string, TimePoint> started;
};

double QuantileMillis(std::vector<Duration>& waits, double quantile) {
  if (waits.empty()) return 0;
  std::sort(waits.begin(), waits.end());
  const auto last = static_cast<double>(waits.size() - 1);
  const auto index = static_cast<std::size_t>(last * quantile);
  return static_cast<double>(waits[index].count()) / 1000.0;
}

void Print(const char* method, double rate, const LimitedStore& store,
           CallerResults& results) {
  const double seconds = std::chrono::duration<double>(kRunTime).count();
  std::printf("%-26s %7.0f %8.1f %9.1f %8.1f %8.1f %8.1f %8.1f %8zu %8zu\n",
              method, rate, static_cast<double>(store.writes) / seconds,
              static_cast<double>(store.conflicts) / seconds,
              static_cast<double>(store.reads) / seconds,
              static_cast<double>(store.bytes) / seconds / 1000.0,
              QuantileMillis(results.waits, 0.5),
              QuantileMillis(results.waits, 0.99), results.waits.size(),
              static_cast<std::size_t>(results.refused));
}

void CompareAt(double rate) {
  {
    Scheduler scheduler;
    LimitedStore store(scheduler);
    CallerResults results;
    RunObjectPerKey(scheduler, store, rate, results);
    Print("(a) object per key", rate, store, results);
  }
  for (const bool by_owner : {false, true}) {
    Scheduler scheduler;
    LimitedStore store(scheduler);
    CallerResults results;
    JournalRun(scheduler, store, results, by_owner).Run(rate);
    Print(by_owner ? "(b) journal, shard owner" : "(b) journal, any router",
          rate, store, results);
  }
}

}  // namespace
}  // namespace toucanwharf

int main() {
  std::printf("%-26s %7s %8s %9s %8s %8s %8s %8s %8s %8s\n", "way", "calls/s",
              "writes/s", "conflicts", "reads/s", "KB/s", "p50 ms", "p99 ms",
              "granted", "refused");
  for (const double rate : {3.0, 200.0, 1000.0}) toucanwharf::CompareAt(rate);
  return 0;
}
