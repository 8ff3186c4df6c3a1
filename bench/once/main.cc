// Compares ways to keep non-idempotent calls to one run, on a virtual clock,
// against a store with the platform's limits: 400 writes and 2,000 reads a
// second, 3 ms until an answer. Every figure is the same in each run.

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

constexpr Duration kWriteCost{2500};
constexpr Duration kReadCost{500};
constexpr Duration kLatency{3000};
constexpr Duration kForward{1000};
constexpr Duration kServiceTime{5000};
constexpr Duration kPatience{std::chrono::seconds(3)};
constexpr Duration kRun{std::chrono::seconds(20)};
constexpr Duration kPump{2000};
constexpr std::uint64_t kSeed = 20261202;
constexpr std::size_t kRouters = 6;
constexpr std::uint32_t kShards = 4;
constexpr std::size_t kOutcomeBytes = 200;

/// Virtual time with tasks.
class Schedule {
 public:
  TimePoint Now() const { return this->now; }
  void At(TimePoint when, std::function<void()> task) {
    this->tasks.push(Item{when, ++this->order, std::move(task)});
  }
  void RunUntil(TimePoint end) {
    while (!this->tasks.empty() && this->tasks.top().when <= end) {
      const Item item = this->tasks.top();
      this->tasks.pop();
      this->now = item.when;
      item.task();
    }
    this->now = end;
  }

 private:
  struct Item {
    TimePoint when;
    std::uint64_t order;
    std::function<void()> task;
    bool operator<(const Item& other) const {
      return other.when < this->when ||
             (other.when == this->when && other.order < this->order);
    }
  };
  std::priority_queue<Item> tasks;
  TimePoint now;
  std::uint64_t order = 0;
};

/// The store behind its limits: calls of a kind are served one by one.
class LimitedStore {
 public:
  explicit LimitedStore(Schedule& run) : schedule(run) {}

  void Write(const store::Write& write,
             std::function<void(store::WriteAnswer)> done) {
    ++this->writes;
    this->bytes += write.value.size();
    this->write_free =
        std::max(this->write_free, this->schedule.Now()) + kWriteCost;
    this->schedule.At(this->write_free, [this, write, done] {
      const store::WriteAnswer answer = this->map.Write(write, Fault::kNone);
      if (answer.status == store::WriteStatus::kConflict) ++this->conflicts;
      this->schedule.At(this->schedule.Now() + kLatency,
                        [done, answer] { done(answer); });
    });
  }

  void Read(const store::ObjectKey& key,
            std::function<void(store::ReadAnswer)> done) {
    ++this->reads;
    this->read_free =
        std::max(this->read_free, this->schedule.Now()) + kReadCost;
    this->schedule.At(this->read_free, [this, key, done] {
      const store::ReadAnswer answer = this->map.Read(key, Fault::kNone);
      this->schedule.At(this->schedule.Now() + kLatency,
                        [done, answer] { done(answer); });
    });
  }

  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t bytes = 0;

 private:
  Schedule& schedule;
  ObjectMap map;
  TimePoint write_free;
  TimePoint read_free;
};

/// What the callers saw.
struct Tally {
  std::vector<Duration> waits;
  std::uint64_t refused = 0;
};

/// Calls \p arrive with 0, 1, 2... at the times of a Poisson stream.
void PlanArrivals(Schedule& schedule, double rate,
                  const std::function<void(std::uint64_t)>& arrive) {
  Random random(kSeed);
  TimePoint when;
  for (std::uint64_t number = 0;; ++number) {
    const double gap = -std::log(1.0 - random.Unit()) / rate * 1e6;
    when = when + Duration(static_cast<Duration::rep>(gap));
    if (when > TimePoint{kRun}) return;
    schedule.At(when, [arrive, number] { arrive(number); });
  }
}

/// (a) One object per key: created before the send, changed by the outcome.
void RunPerKey(Schedule& schedule, LimitedStore& store, double rate,
               Tally& tally) {
  const auto arrive = [&](std::uint64_t number) {
    const std::string name = "k" + std::to_string(number);
    const TimePoint start = schedule.Now();
    const store::Write claim{{"once", name}, "c" + name, 0, "{}"};
    store.Write(claim, [&, name, start](const store::WriteAnswer& answer) {
      const Duration wait = schedule.Now() - start;
      if (wait > kPatience) {
        ++tally.refused;
        return;
      }
      tally.waits.push_back(wait);
      const store::Write outcome{{"once", name},
                                 "o" + name,
                                 answer.version,
                                 std::string(kOutcomeBytes, 'x')};
      schedule.At(schedule.Now() + kServiceTime, [&store, outcome] {
        store.Write(outcome, [](const store::WriteAnswer&) {});
      });
    });
  };
  PlanArrivals(schedule, rate, arrive);
  schedule.RunUntil(TimePoint{kRun + kPatience});
}

/// (b) The journal: each router writes what it is asked for, or the owner of
/// the shard writes for all.
class JournalRun {
 public:
  JournalRun(Schedule& run, LimitedStore& limited, Tally& counts, bool owners)
      : schedule(run), store(limited), tally(counts), owned(owners) {
    for (std::size_t router = 0; router < kRouters; ++router) {
      for (std::uint32_t shard = 0; shard < kShards; ++shard) {
        this->shards.emplace_back(once::ShardSettings{}, shard,
                                  "w" + std::to_string(router));
      }
    }
  }

  void Run(double rate) {
    PlanArrivals(this->schedule, rate,
                 [this](std::uint64_t number) { this->Arrive(number); });
    this->Tick();
    this->schedule.RunUntil(TimePoint{kRun + kPatience});
  }

 private:
  std::uint64_t Wall() const {
    const auto passed = this->schedule.Now().since_start.count() / 1000;
    return 1'000'000 + static_cast<std::uint64_t>(passed);
  }

  void Arrive(std::uint64_t number) {
    const std::uint64_t mixed = MixBits(number);
    const std::size_t shard = mixed % kShards;
    const std::size_t router = this->owned ? shard : (mixed >> 32) % kRouters;
    const std::string key = "k" + std::to_string(number);
    const TimePoint start = this->schedule.Now();
    this->started[key] = start;
    const once::ClaimRequest request{key, key, "d", this->Wall(),
                                     start + kPatience};
    const std::size_t index = router * kShards + shard;
    const Duration way = this->owned ? kForward : Duration(0);
    this->schedule.At(start + way, [this, index, request] {
      this->shards[index].Claim(request);
      this->Pump(index);
    });
  }

  void Tick() {
    for (std::size_t index = 0; index < this->shards.size(); ++index) {
      this->Pump(index);
    }
    this->schedule.At(this->schedule.Now() + kPump, [this] { this->Tick(); });
  }

  void Pump(std::size_t index) {
    once::Shard& shard = this->shards[index];
    const auto call = shard.Poll(this->schedule.Now(), this->Wall());
    this->Deliver(index);
    if (!call.has_value()) return;
    if (const auto* write = std::get_if<store::Write>(&*call)) {
      const auto on_write = [this, index](const store::WriteAnswer& answer) {
        this->shards[index].OnWrite(answer);
        this->Pump(index);
      };
      this->store.Write(*write, on_write);
      return;
    }
    const auto on_read = [this, index](const store::ReadAnswer& answer) {
      this->shards[index].OnRead(answer);
      this->Pump(index);
    };
    this->store.Read(std::get<store::ObjectKey>(*call), on_read);
  }

  void Deliver(std::size_t index) {
    for (const auto& decision : this->shards[index].TakeDecisions()) {
      if (!std::holds_alternative<once::Granted>(decision.verdict)) {
        ++this->tally.refused;
        continue;
      }
      const Duration back = this->owned ? kForward : Duration(0);
      this->tally.waits.push_back(this->schedule.Now() + back -
                                  this->started[decision.claim]);
      const std::string key = decision.claim;
      this->schedule.At(this->schedule.Now() + kServiceTime,
                        [this, index, key] { this->Conclude(index, key); });
    }
  }

  void Conclude(std::size_t index, const std::string& key) {
    const once::Outcome outcome{200, "application/json",
                                std::string(kOutcomeBytes, 'x'), true};
    this->shards[index].RecordOutcome(
        once::Entry{key, key, "", once::KeyState::kDone, outcome},
        this->schedule.Now());
  }

  Schedule& schedule;
  LimitedStore& store;
  Tally& tally;
  bool owned;
  std::vector<once::Shard> shards;
  std::map<std::string, TimePoint> started;
};

double Millis(std::vector<Duration>& waits, double share) {
  if (waits.empty()) return 0;
  std::sort(waits.begin(), waits.end());
  const auto last = static_cast<double>(waits.size() - 1);
  const auto at = static_cast<std::size_t>(last * share);
  return static_cast<double>(waits[at].count()) / 1000.0;
}

void Print(const char* way, double rate, const LimitedStore& store,
           Tally& tally) {
  const double seconds = std::chrono::duration<double>(kRun).count();
  std::printf("%-26s %7.0f %8.1f %9.1f %8.1f %8.1f %8.1f %8.1f %8zu %8zu\n",
              way, rate, static_cast<double>(store.writes) / seconds,
              static_cast<double>(store.conflicts) / seconds,
              static_cast<double>(store.reads) / seconds,
              static_cast<double>(store.bytes) / seconds / 1000.0,
              Millis(tally.waits, 0.5), Millis(tally.waits, 0.99),
              tally.waits.size(), static_cast<std::size_t>(tally.refused));
}

void CompareAt(double rate) {
  {
    Schedule schedule;
    LimitedStore store(schedule);
    Tally tally;
    RunPerKey(schedule, store, rate, tally);
    Print("(a) object per key", rate, store, tally);
  }
  for (const bool owned : {false, true}) {
    Schedule schedule;
    LimitedStore store(schedule);
    Tally tally;
    JournalRun(schedule, store, tally, owned).Run(rate);
    Print(owned ? "(b) journal, shard owner" : "(b) journal, any router", rate,
          store, tally);
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
