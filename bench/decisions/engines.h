#ifndef TOUCANWHARF_BENCH_DECISIONS_ENGINES_H_
#define TOUCANWHARF_BENCH_DECISIONS_ENGINES_H_

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "fleet.h"
#include "toucanwharf/routing/load_view.h"

namespace toucanwharf::bench {

/// A job on a chain.
struct Placed {
  Job job;
  std::uint32_t router = 0;
  std::uint32_t chain = 0;
};

/// A job that just got a slot.
struct StartedJob {
  std::uint64_t id = 0;
  TimePoint first_token;
  TimePoint end;
};

/// The queueing fake of one chain: slots and KV memory, then first come first
/// served. A job whose caller's patience is over is dropped when its turn
/// comes, in favour of the baselines, whose queues are long.
class FakeEngine {
 public:
  explicit FakeEngine(const Chain& served) : chain(served) {}

  void Arrive(const Placed& placed) { this->queue.push_back(placed); }

  /// Starts what fits; adds started jobs to \p started and dropped ones to
  /// \p dropped.
  void Pump(TimePoint now, std::vector<StartedJob>& started,
            std::vector<Placed>& dropped);

  /// Ends job \p id.
  Placed End(std::uint64_t id);

  routing::LoadReport Report(TimePoint now) const;

  /// Returns slots that a waiting job could have: none while some wait here or
  /// the memory is full.
  std::uint32_t Idle() const;

 private:
  bool Fits(const Job& job) const;

  Chain chain;
  std::deque<Placed> queue;
  std::unordered_map<std::uint64_t, Placed> running;
  double kv_used = 0;
};

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_DECISIONS_ENGINES_H_
