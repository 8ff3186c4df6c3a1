#ifndef TOUCANWHARF_BENCH_DECISIONS_ENGINES_H_
#define TOUCANWHARF_BENCH_DECISIONS_ENGINES_H_

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "fleet.h"
#include "toucanwharf/routing/load_view.h"

namespace toucanwharf::bench {

/// A job, the router that handles it and the chain that it was sent to.
struct PlacedJob {
  Job job;
  std::uint32_t router = 0;
  std::uint32_t chain = 0;
};

/// Times of a job that was given a slot.
struct StartedJob {
  std::uint64_t id = 0;
  TimePoint first_token;
  TimePoint end;
};

/// Queueing model of one chain: jobs start in the order of arrival while slots
/// and KV memory last. A job past its deadline is dropped at the head of the
/// queue, which favours the baselines, whose queues are long.
class FakeEngine {
 public:
  explicit FakeEngine(const Chain& served_chain) : chain(served_chain) {}

  void Enqueue(const PlacedJob& placed) { this->queue.push_back(placed); }

  /// Starts queued jobs while they fit. Adds the started jobs to \p started and
  /// the dropped ones to \p dropped.
  void StartQueued(TimePoint now, std::vector<StartedJob>& started,
                   std::vector<PlacedJob>& dropped);

  /// Ends running job \p id and frees its slot and memory.
  PlacedJob End(std::uint64_t id);

  routing::LoadReport Report(TimePoint now) const;

  /// Returns the slots that another job could use: 0 while jobs are queued here
  /// or the KV memory is full.
  std::uint32_t IdleSlots() const;

 private:
  bool Fits(const Job& job) const;

  Chain chain;
  std::deque<PlacedJob> queue;
  std::unordered_map<std::uint64_t, PlacedJob> running;
  double kv_used = 0;
};

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_DECISIONS_ENGINES_H_
