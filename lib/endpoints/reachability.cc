#include "toucanwharf/endpoints/reachability.h"

namespace toucanwharf::endpoints {
namespace {

/// An instance is isolated if at least so many endpoints failed in a row that
/// were not known to be unreachable, and so many of them in checks: the others
/// may be the endpoints of one service that is gone. Where a third of the
/// endpoints is out of reach, so many checks in a row fail once in eighty
/// times.
constexpr std::size_t kMinFailed = 5;
constexpr std::size_t kMinFailedChecks = 4;
/// Between checks whether a path is back.
constexpr Duration kRecoveryCheckPeriod = std::chrono::milliseconds(250);
constexpr Duration kRecheckPeriod = std::chrono::milliseconds(1000);
/// An endpoint that failed is tried again after this long. A restart takes
/// longer, and each attempt costs a caller the connect timeout.
constexpr Duration kNotConnectedFor = std::chrono::milliseconds(1500);
constexpr Duration kUnresponsiveFor = std::chrono::milliseconds(1000);
constexpr Duration kRepeatedCheckPeriod = std::chrono::milliseconds(50);
constexpr Duration kForgottenAfter = std::chrono::seconds(5);

}  // namespace

void Reachability::OnAnswered(const std::string& endpoint,
                              TimePoint connected_at, TimePoint now) {
  const auto failed = this->failures.find(endpoint);
  const bool newer =
      failed != this->failures.end() && connected_at >= failed->second.at;
  if (newer) this->failures.erase(failed);
  if (!this->InDoubt() || connected_at < this->doubt_since) return;
  if (this->isolated && !this->recovering) {
    // A single answer may have slipped through a link that comes and goes.
    this->recovering = true;
    this->next_check_at = now;
    return;
  }
  this->failed_since_answer.clear();
  this->failed_checks = 0;
  if (!this->isolated) return;
  this->isolated = false;
  this->recovering = false;
  this->failures.clear();
}

void Reachability::OnData(const std::string& endpoint) {
  const auto found = this->failures.find(endpoint);
  const bool was_slow = found != this->failures.end() &&
                        found->second.kind == ConnectionFailure::kUnresponsive;
  if (!was_slow || this->isolated) return;
  this->failures.erase(found);
  this->failed_since_answer.erase(endpoint);
  if (!this->InDoubt()) this->failed_checks = 0;
}

void Reachability::Reset() {
  this->failures.clear();
  this->failed_since_answer.clear();
  this->failed_checks = 0;
  this->isolated = false;
  this->recovering = false;
}

bool Reachability::Holds(const Failure& failure, TimePoint now) {
  const bool connected = failure.kind == ConnectionFailure::kUnresponsive;
  return now - failure.at < (connected ? kUnresponsiveFor : kNotConnectedFor);
}

void Reachability::OnFailure(const std::string& endpoint,
                             ConnectionFailure kind, std::size_t endpoints,
                             TimePoint now) {
  // Endpoints that are gone are not checked any more.
  std::erase_if(this->failures, [now](const auto& entry) {
    return now - entry.second.at > kForgottenAfter;
  });
  const bool checked = this->checking && endpoint == this->last_checked;
  const auto [known, added] =
      this->failures.try_emplace(endpoint, Failure{now, now, kind});
  const bool was_known = !added && Holds(known->second, now);
  known->second.at = now;
  known->second.kind = kind;
  this->recovering = false;
  const bool is_news =
      !was_known || this->failed_since_answer.contains(endpoint);
  if (!is_news) return;
  if (!this->InDoubt()) this->doubt_since = now;
  this->failed_since_answer.insert(endpoint);
  if (checked) ++this->failed_checks;
  const std::size_t failed = this->failed_since_answer.size();
  const bool enough =
      failed >= kMinFailed && this->failed_checks >= kMinFailedChecks;
  if (this->isolated || (!enough && this->failures.size() < endpoints)) return;
  this->isolated = true;
  this->isolated_at = now;
  this->next_check_at = now + kRecoveryCheckPeriod;
}

bool Reachability::IsUnreachable(const std::string& endpoint,
                                 TimePoint now) const {
  const auto found = this->failures.find(endpoint);
  return found != this->failures.end() && Holds(found->second, now);
}

std::vector<std::string> Reachability::Unreachable(TimePoint now) const {
  std::vector<std::string> all;
  for (const auto& [id, failure] : this->failures) {
    if (this->IsUnreachable(id, now)) all.push_back(id);
  }
  return all;
}

RefusalMeaning Reachability::MeaningOfRefusal() const {
  if (this->isolated) return RefusalMeaning::kNothing;
  return this->InDoubt() ? RefusalMeaning::kUnknownYet : RefusalMeaning::kEnded;
}

std::optional<std::string> Reachability::NextCheck(
    const std::vector<std::string>& candidates, TimePoint now, Random& random) {
  if (this->checking || candidates.empty()) return std::nullopt;
  auto chosen = this->ChooseCheck(candidates, now, random);
  if (!chosen) return std::nullopt;
  this->checking = true;
  this->last_checked = *chosen;
  return chosen;
}

std::optional<std::string> Reachability::ChooseCheck(
    const std::vector<std::string>& candidates, TimePoint now, Random& random) {
  const auto draw = [&](const std::vector<std::string>& from) {
    return from[random.Below(from.size())];
  };
  if (this->isolated) {
    if (now < this->next_check_at) return std::nullopt;
    this->next_check_at = now + kRecoveryCheckPeriod;
    std::vector<std::string> others;
    for (const std::string& id : candidates) {
      if (id != this->last_checked) others.push_back(id);
    }
    return draw(others.empty() ? candidates : others);
  }
  std::vector<std::string> untried;
  std::vector<std::string> due;
  for (const std::string& id : candidates) {
    if (!this->failed_since_answer.contains(id)) untried.push_back(id);
    const auto failed = this->failures.find(id);
    if (failed == this->failures.end()) continue;
    if (now - failed->second.checked_at >= kRecheckPeriod) due.push_back(id);
  }
  if (this->InDoubt() && !untried.empty()) return draw(untried);
  if (this->InDoubt()) {
    // All have failed, but not in checks.
    if (now < this->next_check_at) return std::nullopt;
    this->next_check_at = now + kRepeatedCheckPeriod;
    return draw(candidates);
  }
  if (due.empty()) return std::nullopt;
  const std::string chosen = draw(due);
  this->failures[chosen].checked_at = now;
  return chosen;
}

}  // namespace toucanwharf::endpoints
