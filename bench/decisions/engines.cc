#include "engines.h"

namespace toucanwharf::bench {
namespace {

double KvTokensOf(const Job& job) {
  return job.prompt_tokens + job.output_tokens;
}

Duration FromSeconds(double seconds) {
  return Duration{static_cast<std::int64_t>(seconds * 1e6)};
}

}  // namespace

void FakeEngine::StartQueued(TimePoint now, std::vector<StartedJob>& started,
                             std::vector<PlacedJob>& dropped) {
  while (!this->queue.empty()) {
    const PlacedJob placed = this->queue.front();
    if (placed.job.deadline < now) {
      dropped.push_back(placed);
      this->queue.pop_front();
      continue;
    }
    if (!this->Fits(placed.job)) return;
    this->queue.pop_front();
    this->kv_used += KvTokensOf(placed.job);
    this->running.emplace(placed.job.id, placed);
    const double prefill = this->chain.PrefillSeconds(placed.job.prompt_tokens);
    const double decode = placed.job.output_tokens * this->chain.TokenSeconds();
    const TimePoint first =
        now + FromSeconds(prefill + this->chain.TokenSeconds());
    started.push_back(
        StartedJob{placed.job.id, first, now + FromSeconds(prefill + decode)});
  }
}

PlacedJob FakeEngine::End(std::uint64_t id) {
  const auto found = this->running.find(id);
  PlacedJob placed = found->second;
  this->running.erase(found);
  this->kv_used -= KvTokensOf(placed.job);
  return placed;
}

routing::LoadReport FakeEngine::Report(TimePoint now) const {
  routing::LoadReport report;
  report.running = static_cast<std::uint32_t>(this->running.size());
  for (const PlacedJob& placed : this->queue) {
    report.queued_tokens += KvTokensOf(placed.job);
  }
  report.kv_tokens_free = this->chain.KvTokens() - this->kv_used;
  report.as_of = now;
  return report;
}

std::uint32_t FakeEngine::IdleSlots() const {
  // Mean prompt of 350 tokens and mean output of 120.
  constexpr double kTypicalJobTokens = 470;
  const bool full = this->kv_used + kTypicalJobTokens > this->chain.KvTokens();
  if (full || !this->queue.empty()) return 0;
  return this->chain.Slots() - static_cast<std::uint32_t>(this->running.size());
}

bool FakeEngine::Fits(const Job& job) const {
  return this->running.size() < this->chain.Slots() &&
         this->kv_used + KvTokensOf(job) <= this->chain.KvTokens();
}

}  // namespace toucanwharf::bench
