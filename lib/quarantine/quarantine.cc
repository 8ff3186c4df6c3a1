#include "toucanwharf/quarantine/quarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace toucanwharf::quarantine {
namespace {

constexpr Duration kPrunePeriod = std::chrono::seconds(1);

Duration Distance(TimePoint left, TimePoint right) {
  return left < right ? right - left : left - right;
}

template <typename Crashes>
bool Contains(const Crashes& crashes, std::uint32_t key) {
  return std::any_of(crashes.begin(), crashes.end(), [key](const auto& crash) {
    return crash.endpoint.key == key;
  });
}

template <typename Crashes>
std::size_t CountUnrefuted(const Crashes& crashes) {
  return static_cast<std::size_t>(
      std::count_if(crashes.begin(), crashes.end(),
                    [](const auto& crash) { return !crash.refuted; }));
}

}  // namespace

void Quarantine::OnRunBroken(const BrokenRun& run, TimePoint now) {
  this->Prune(now);
  BrokenRuns& runs = this->undecided[run.endpoint.key];
  runs.endpoint = run.endpoint;
  runs.last_at = now;
  if (run.stage == RunStage::kBegun) {
    runs.begun.insert_or_assign(run.request, BegunRun{run.sent_at, now});
  }
  if (run.stage == RunStage::kProven) this->OnSuccess(run.request, now);
}

std::vector<Fingerprint> Quarantine::OnEndpointEnded(std::uint32_t key,
                                                     TimePoint now) {
  std::vector<Fingerprint> added;
  const auto found = this->undecided.find(key);
  if (found == this->undecided.end()) return added;
  const BrokenRuns runs = std::move(found->second);
  this->undecided.erase(found);
  this->RecordEnd(key, runs.last_at);
  for (const auto& [request, run] : runs.begun) {
    // An end breaks all runs at one moment; those before broke off.
    const bool at_end =
        runs.last_at - run.broke_at <= this->settings.joint_window;
    const Crash crash{runs.endpoint, run.sent_at, runs.last_at, false};
    if (at_end && this->Add(request, crash, now)) added.push_back(request);
  }
  return added;
}

void Quarantine::RecordEnd(std::uint32_t key, TimePoint at) {
  this->ends.emplace(key, at);
  if (this->ends.size() <= this->settings.max_ends) return;
  this->ends.erase(std::min_element(this->ends.begin(), this->ends.end(),
                                    [](const auto& lhs, const auto& rhs) {
                                      return lhs.second < rhs.second;
                                    }));
}

std::vector<Fingerprint> Quarantine::OnEndpointAnswered(std::uint32_t key,
                                                        TimePoint sent_at,
                                                        TimePoint now) {
  const auto goes_on = [&](TimePoint supposed_end) {
    return sent_at > supposed_end + this->settings.clock_skew &&
           now - supposed_end <= this->settings.min_downtime;
  };
  const auto broken = this->undecided.find(key);
  if (broken != this->undecided.end() && goes_on(broken->second.last_at)) {
    this->undecided.erase(broken);
  }
  std::vector<Fingerprint> cleared;
  const auto end = this->ends.find(key);
  if (end == this->ends.end() || !goes_on(end->second)) return cleared;
  this->ends.erase(end);
  for (auto& [request, crashes] : this->suspects) {
    for (Crash& crash : crashes) {
      if (crash.endpoint.key != key || crash.refuted) continue;
      crash.refuted = true;
      cleared.push_back(request);
    }
  }
  return cleared;
}

void Quarantine::OnEndpointCleared(std::uint32_t key) {
  this->undecided.erase(key);
}

std::vector<std::uint32_t> Quarantine::Undecided(TimePoint now) {
  this->Prune(now);
  std::vector<std::uint32_t> keys;
  for (const auto& [key, runs] : this->undecided) keys.push_back(key);
  return keys;
}

bool Quarantine::OnSuccess(const Fingerprint& request, TimePoint now) {
  this->successes.Add(request, now);
  for (auto& [key, runs] : this->undecided) runs.begun.erase(request);
  const auto found = this->suspects.find(request);
  if (found == this->suspects.end()) return false;
  const bool suspected = CountUnrefuted(found->second) > 0;
  for (Crash& crash : found->second) crash.refuted = true;
  return suspected;
}

bool Quarantine::Merge(const SuspectReport& report, TimePoint now) {
  bool learned = false;
  for (const CrashReport& crash : report.crashes) {
    const TimePoint at = now - crash.age;
    if (crash.age > this->settings.certain_block) continue;
    this->RecordEnd(crash.endpoint.key, at);
    const bool added =
        this->Add(report.request,
                  {crash.endpoint, at - crash.ran, at, crash.refuted}, now);
    learned = learned || (added && !crash.refuted);
  }
  return learned;
}

/// Returns whether the crash was not known.
bool Quarantine::Add(const Fingerprint& request, const Crash& crash,
                     TimePoint now) {
  this->Prune(now);
  Crashes& crashes = this->suspects[request];
  const auto known =
      std::find_if(crashes.begin(), crashes.end(), [&](const Crash& other) {
        return other.endpoint.key == crash.endpoint.key;
      });
  if (known != crashes.end()) {
    known->refuted = known->refuted || crash.refuted;
    return false;
  }
  crashes.push_back(crash);
  // A request that crashes endpoints is never answered. Another copy may have
  // been answered a moment ago, or have run for long at the same crash.
  if (this->successes.Contains(request, now)) crashes.back().refuted = true;
  if (crashes.size() > this->settings.max_crashes) {
    const auto oldest = std::min_element(
        crashes.begin(), crashes.end(),
        [](const Crash& lhs, const Crash& rhs) { return lhs.at < rhs.at; });
    const bool is_oldest = oldest->endpoint == crash.endpoint;
    crashes.erase(oldest);
    // Other instances may keep it and report it again and again.
    if (is_oldest) return false;
  }
  if (this->suspects.size() > this->settings.max_requests) this->EvictOne();
  return this->suspects.contains(request);
}

/// Removes a request of the customer that has the most, so that no customer can
/// push out the entries of another: one that was answered since, or else one
/// with the fewest and oldest crashes.
void Quarantine::EvictOne() {
  std::map<std::uint32_t, std::size_t> per_customer;
  for (const auto& [request, crashes] : this->suspects) {
    ++per_customer[request.customer];
  }
  const auto importance = [](const auto& entry) {
    const Crashes& crashes = entry.second;
    return std::pair(CountUnrefuted(crashes), crashes.back().at);
  };
  const std::uint32_t most =
      std::max_element(per_customer.begin(), per_customer.end(),
                       [](const auto& lhs, const auto& rhs) {
                         return lhs.second < rhs.second;
                       })
          ->first;
  auto victim = this->suspects.end();
  for (auto entry = this->suspects.begin(); entry != this->suspects.end();
       ++entry) {
    if (entry->first.customer != most) continue;
    const bool lesser = victim == this->suspects.end() ||
                        importance(*entry) < importance(*victim);
    if (lesser) victim = entry;
  }
  this->suspects.erase(victim);
}

void Quarantine::Prune(TimePoint now) {
  if (now - this->pruned_at < kPrunePeriod) return;
  this->pruned_at = now;
  std::erase_if(this->undecided, [&](const auto& entry) {
    return now - entry.second.last_at > this->settings.evidence_timeout;
  });
  std::erase_if(this->ends, [&](const auto& entry) {
    return now - entry.second > this->settings.certain_block;
  });
  std::erase_if(this->suspects, [&](const auto& entry) {
    const Evidence evidence = this->Weigh(entry.second);
    const Duration kept = this->IsCertain(evidence)
                              ? this->settings.certain_block
                              : this->settings.retention;
    return std::all_of(
        entry.second.begin(), entry.second.end(),
        [&](const Crash& crash) { return now - crash.at > kept; });
  });
}

/// Returns whether other endpoints crashed at the same moment without
/// the request.
bool Quarantine::IsJoint(const Crashes& of_request, const Crash& crash) const {
  std::size_t others = 0;
  for (const auto& [key, at] : this->ends) {
    if (Distance(at, crash.at) > this->settings.joint_window) continue;
    if (!Contains(of_request, key)) ++others;
  }
  return others >= this->settings.joint_ends;
}

/// Returns the longest sequence of crashes of which each run was sent after the
/// crash before.
Quarantine::Evidence Quarantine::Weigh(Crashes crashes) const {
  std::sort(crashes.begin(), crashes.end(),
            [](const Crash& lhs, const Crash& rhs) { return lhs.at < rhs.at; });
  Evidence evidence;
  for (const Crash& crash : crashes) {
    if (crash.refuted) continue;
    const bool follows =
        evidence.chain.empty() ||
        crash.sent_at + this->settings.clock_skew >= evidence.chain.back().at;
    if (!follows) continue;
    evidence.weight +=
        this->IsJoint(crashes, crash) ? this->settings.joint_weight : 1;
    if (!evidence.chain.empty() &&
        evidence.chain.front().endpoint.address != crash.endpoint.address) {
      evidence.several_addresses = true;
    }
    evidence.chain.push_back(crash);
  }
  return evidence;
}

bool Quarantine::IsCertain(const Evidence& evidence) const {
  return evidence.weight >= this->settings.certain &&
         (evidence.several_addresses ||
          evidence.chain.size() >= this->settings.at_one_address);
}

Quarantine::Comparison Quarantine::Compare(const Fingerprint& request,
                                           const Evidence& evidence) const {
  constexpr std::size_t kShared = 2;
  Comparison comparison;
  for (const auto& [other, crashes] : this->suspects) {
    if (other == request) continue;
    const auto shared = static_cast<std::size_t>(
        std::count_if(crashes.begin(), crashes.end(), [&](const Crash& crash) {
          return !crash.refuted && Contains(evidence.chain, crash.endpoint.key);
        }));
    if (shared < kShared) continue;
    comparison.shared = true;
    if (shared < evidence.chain.size()) continue;
    const bool more = this->Weigh(crashes).weight > evidence.weight;
    (more ? comparison.explained : comparison.tied) = true;
  }
  return comparison;
}

std::optional<Verdict> Quarantine::Judge(const Fingerprint& request,
                                         TimePoint now) const {
  const auto found = this->suspects.find(request);
  if (found == this->suspects.end()) return std::nullopt;
  const Evidence evidence = this->Weigh(found->second);
  const bool probable =
      evidence.weight >= this->settings.probable && evidence.several_addresses;
  const bool certain = this->IsCertain(evidence);
  if (!probable && !certain) return std::nullopt;
  const Comparison others = this->Compare(request, evidence);
  if (others.explained) return std::nullopt;
  Duration block{0};
  if (!others.shared) block = this->settings.probable_block;
  if (certain) {
    block = others.tied ? this->settings.probable_block
                        : this->settings.certain_block;
  }
  Verdict verdict;
  verdict.crashes = evidence.chain.size();
  verdict.last_crash_age = now - evidence.chain.back().at;
  verdict.blocked_for = block - verdict.last_crash_age;
  if (verdict.blocked_for <= Duration(0)) return std::nullopt;
  return verdict;
}

bool Quarantine::MayRetry(const Fingerprint& request, TimePoint now) const {
  if (this->Judge(request, now)) return false;
  // The newest broken run counts as well: its evidence comes a moment later.
  std::optional<Crash> newest;
  for (const auto& [key, runs] : this->undecided) {
    const auto run = runs.begun.find(request);
    if (run == runs.begun.end()) continue;
    const auto& [sent_at, broke_at] = run->second;
    if (newest && newest->at >= broke_at) continue;
    newest = Crash{runs.endpoint, sent_at, broke_at, false};
  }
  Crashes crashes;
  const auto found = this->suspects.find(request);
  if (found != this->suspects.end()) crashes = found->second;
  if (newest) crashes.push_back(*newest);
  return this->Weigh(crashes).weight < this->settings.probable;
}

SuspectReport Quarantine::ReportOf(const Fingerprint& request,
                                   TimePoint now) const {
  SuspectReport report;
  report.request = request;
  const auto found = this->suspects.find(request);
  if (found == this->suspects.end()) return report;
  for (const Crash& crash : found->second) {
    report.crashes.push_back({crash.endpoint, now - crash.at,
                              crash.at - crash.sent_at, crash.refuted});
  }
  return report;
}

std::vector<SuspectReport> Quarantine::Reports(TimePoint now) {
  this->Prune(now);
  std::vector<SuspectReport> reports;
  for (const auto& [request, crashes] : this->suspects) {
    reports.push_back(this->ReportOf(request, now));
  }
  if (reports.size() <= this->settings.max_reported) return reports;
  const auto rank = [](const SuspectReport& report) {
    return std::tuple(CountUnrefuted(report.crashes),
                      -report.crashes.back().age);
  };
  std::partial_sort(
      reports.begin(),
      reports.begin() +
          static_cast<std::ptrdiff_t>(this->settings.max_reported),
      reports.end(), [&](const SuspectReport& lhs, const SuspectReport& rhs) {
        return rank(lhs) > rank(rhs);
      });
  reports.resize(this->settings.max_reported);
  return reports;
}

std::size_t Quarantine::BlockedCount(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      this->suspects.begin(), this->suspects.end(), [&](const auto& entry) {
        return this->Judge(entry.first, now).has_value();
      }));
}

}  // namespace toucanwharf::quarantine
