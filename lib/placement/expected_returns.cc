#include "toucanwharf/placement/expected_returns.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucanwharf::placement {

void ExpectedReturns::Update(const std::vector<Accelerator>& fleet,
                             const std::set<std::string>& departing,
                             TimePoint now) {
  std::map<std::string, Accelerator> next;
  for (const Accelerator& engine : fleet) next.emplace(engine.id, engine);
  for (const auto& [id, engine] : this->present) {
    if (next.contains(id) || departing.contains(id)) continue;
    if (engine.layers.Count() > 0) this->lost.push_back({engine, now});
  }
  for (const auto& [id, engine] : next) {
    if (!this->present.contains(id)) this->OnArrival(engine, now);
  }
  this->present = std::move(next);
  std::erase_if(this->lost, [&](const LostEngine& each) {
    if (now - each.at < this->settings.max_patience) return false;
    this->Record({false, {}});
    return true;
  });
}

void ExpectedReturns::OnArrival(const Accelerator& engine, TimePoint now) {
  const auto replaced = std::find_if(
      this->lost.begin(), this->lost.end(), [&](const LostEngine& each) {
        return each.engine.failure_domain == engine.failure_domain &&
               each.engine.kind == engine.kind;
      });
  if (replaced == this->lost.end()) return;
  this->Record({true, now - replaced->at});
  this->lost.erase(replaced);
}

void ExpectedReturns::Record(const Outcome& outcome) {
  this->outcomes.push_back(outcome);
  if (this->outcomes.size() > this->settings.remembered) {
    this->outcomes.pop_front();
  }
}

std::optional<Duration> ExpectedReturns::LongestReturn() const {
  std::optional<Duration> longest;
  for (const Outcome& outcome : this->outcomes) {
    if (!outcome.returned) continue;
    longest = std::max(longest.value_or(outcome.after), outcome.after);
  }
  return longest;
}

Duration ExpectedReturns::Patience() const {
  const auto returned =
      std::count_if(this->outcomes.begin(), this->outcomes.end(),
                    [](const Outcome& outcome) { return outcome.returned; });
  // One return is assumed, so that a single loss settles nothing.
  const auto losses = static_cast<std::ptrdiff_t>(this->outcomes.size()) + 1;
  if (2 * (returned + 1) < losses) return Duration(0);
  const std::optional<Duration> longest = this->LongestReturn();
  if (!longest) return this->settings.first_patience;
  const auto patience = std::chrono::duration_cast<Duration>(
      *longest * this->settings.patience_factor);
  return std::min(patience, this->settings.max_patience);
}

std::vector<ExpectedEngine> ExpectedReturns::Expected(TimePoint now) const {
  using Seconds = std::chrono::duration<double>;
  const Duration patience = this->Patience();
  const Duration typical =
      this->LongestReturn().value_or(this->settings.first_return);
  std::vector<ExpectedEngine> expected;
  for (const LostEngine& each : this->lost) {
    const Duration away = now - each.at;
    if (away >= patience) continue;
    // Whole seconds, so that time alone rarely changes the result.
    const double seconds =
        std::ceil(Seconds(std::max(typical - away, Duration(0))).count());
    expected.push_back({each.engine, seconds});
    expected.back().engine.loading = pipeline::LayerRange{};
  }
  return expected;
}

}  // namespace toucanwharf::placement
