#include <algorithm>
#include <cmath>
#include <utility>

#include "crashes.h"
#include "toucanwharf/quarantine/quarantine.h"

namespace toucanwharf::quarantine {
namespace {

Duration Distance(TimePoint left, TimePoint right) {
  return left < right ? right - left : left - right;
}

template <typename Crashes>
bool WasAt(const Crashes& crashes, std::uint32_t key) {
  return std::any_of(crashes.begin(), crashes.end(), [key](const auto& crash) {
    return crash.endpoint.key == key;
  });
}

template <typename Crashes>
bool IsUnrefutedAt(const Crashes& crashes, std::uint32_t key) {
  return std::any_of(crashes.begin(), crashes.end(), [key](const auto& crash) {
    return crash.endpoint.key == key && !crash.refuted;
  });
}

template <typename Crashes>
Duration LongestRun(const Crashes& crashes) {
  Duration longest{0};
  for (const auto& crash : crashes) {
    if (!crash.refuted) longest = std::max(longest, crash.ran);
  }
  return longest;
}

bool Contains(const std::vector<Fingerprint>& list, const Fingerprint& wanted) {
  return std::find(list.begin(), list.end(), wanted) != list.end();
}

}  // namespace

/// Returns whether more other endpoints crashed at the same moment without the
/// suspect than do so by chance where crashes are frequent.
bool Quarantine::IsJoint(const Crashes& of_suspect, const Crash& crash) const {
  std::size_t others = 0;
  std::size_t around = 0;
  TimePoint newest = crash.at;
  for (const auto& [key, at] : this->ends) {
    newest = std::max(newest, at);
    const Duration distance = Distance(at, crash.at);
    if (distance > this->settings.joint_background) continue;
    if (distance > this->settings.joint_window) {
      ++around;
    } else if (!WasAt(of_suspect, key)) {
      ++others;
    }
  }
  if (others < this->settings.joint_ends) return false;
  const Duration after =
      std::clamp(newest - crash.at, this->settings.joint_window,
                 this->settings.joint_background);
  const Duration moment = 2 * this->settings.joint_window;
  const Duration observed = this->settings.joint_background + after - moment;
  const double by_chance = static_cast<double>(around) *
                           static_cast<double>(moment.count()) /
                           static_cast<double>(observed.count());
  constexpr double kDeviations = 2;
  return static_cast<double>(others) >
         by_chance + kDeviations * std::sqrt(by_chance);
}

/// Returns the longest sequence of crashes of which each run was sent after the
/// crash before.
Quarantine::Evidence Quarantine::Weigh(const Crashes& crashes) const {
  Evidence evidence;
  double beside = 0;
  double unseen = 0;
  for (const Crash& crash : crashes) {
    if (crash.refuted) continue;
    const double weight =
        this->IsJoint(crashes, crash) ? this->settings.joint_weight : 1;
    const bool follows =
        evidence.chain.empty() ||
        crash.sent_at + this->settings.clock_skew >= evidence.chain.back().at;
    if (!follows) {
      beside += weight * this->settings.beside_weight;
      continue;
    }
    evidence.weight += weight;
    if (crash.waiting) unseen += weight * (1 - this->settings.waiting_weight);
    if (!evidence.chain.empty() &&
        evidence.chain.front().endpoint.address != crash.endpoint.address) {
      evidence.several_addresses = true;
    }
    evidence.chain.push_back(crash);
  }
  // Crashes of one moment prove nothing more, however many they are.
  const auto rounds = static_cast<double>(evidence.chain.size());
  evidence.weight += std::min(beside, std::max(rounds - 1, 0.0));
  evidence.weight_if_begun = evidence.weight;
  evidence.weight -= unseen;
  return evidence;
}

bool Quarantine::IsCertain(const Evidence& evidence,
                           FingerprintKind kind) const {
  // A whole request is rarely at three crashes by chance, a part often.
  const double weight = kind == FingerprintKind::kRequest
                            ? evidence.weight_if_begun
                            : evidence.weight;
  return weight >= this->settings.certain &&
         (evidence.several_addresses ||
          evidence.chain.size() >= this->settings.at_one_address);
}

/// What crashes endpoints does so soon after it begins: of two that were at as
/// many crashes, the one that had always begun later is more suspect.
bool Quarantine::MoreSuspect(const Crashes& crashes,
                             const Crashes& others) const {
  const std::size_t count = CountUnrefuted(crashes);
  const std::size_t other_count = CountUnrefuted(others);
  if (count != other_count) return count > other_count;
  return LongestRun(crashes) + this->settings.clock_skew < LongestRun(others);
}

Quarantine::Crashes Quarantine::Unexplained(
    const Fingerprint& suspect, const std::vector<Fingerprint>& carried) const {
  Crashes left = this->suspects.at(suspect);
  const Crashes own = left;
  for (const auto& entry : this->suspects) {
    const Crashes& crashes = entry.second;
    const bool is_carried = Contains(carried, entry.first);
    if (is_carried || !this->MoreSuspect(crashes, own)) continue;
    std::erase_if(left, [&](const Crash& crash) {
      return IsUnrefutedAt(crashes, crash.endpoint.key);
    });
  }
  return left;
}

Quarantine::Comparison Quarantine::Compare(
    const Fingerprint& suspect, const std::vector<Fingerprint>& carried,
    const Evidence& evidence) const {
  const Crashes& own = this->suspects.at(suspect);
  constexpr std::size_t kShared = 2;
  Comparison comparison;
  for (const auto& entry : this->suspects) {
    const Crashes& crashes = entry.second;
    if (Contains(carried, entry.first)) continue;
    const auto shared = static_cast<std::size_t>(std::count_if(
        evidence.chain.begin(), evidence.chain.end(), [&](const Crash& crash) {
          return IsUnrefutedAt(crashes, crash.endpoint.key);
        }));
    comparison.shared = comparison.shared || shared >= kShared;
    const bool at_all = shared >= kShared && shared == evidence.chain.size();
    comparison.tied =
        comparison.tied || (at_all && !this->MoreSuspect(own, crashes));
  }
  return comparison;
}

/// Popular parts are at some of many crashes by chance, at two of any three.
bool Quarantine::IsAtMostEnds(const Crashes& of_suspect,
                              const Evidence& evidence) const {
  std::vector<std::pair<TimePoint, bool>> ends;
  for (const auto& [key, at] : this->ends) {
    const bool meanwhile =
        at >= evidence.chain.front().at && at <= evidence.chain.back().at;
    if (meanwhile) ends.emplace_back(at, IsUnrefutedAt(of_suspect, key));
  }
  std::sort(ends.begin(), ends.end());
  std::size_t moments = 0;
  std::size_t present = 0;
  for (auto end = ends.begin(); end != ends.end();) {
    const TimePoint last = end->first + this->settings.joint_window;
    bool was_there = false;
    for (; end != ends.end() && end->first <= last; ++end) {
      was_there = was_there || end->second;
    }
    ++moments;
    if (was_there) ++present;
  }
  // A sequence may be shorter than a moment.
  return moments <= 2 * (std::max(present, evidence.chain.size()) - 1);
}

Quarantine::Block Quarantine::BlockOf(const Fingerprint& suspect,
                                      const std::vector<Fingerprint>& carried,
                                      const Crashes& unexplained) const {
  const Evidence evidence = this->Weigh(unexplained);
  const bool probable =
      evidence.weight >= this->settings.probable && evidence.several_addresses;
  const bool certain = this->IsCertain(evidence, suspect.kind);
  if (!probable && !certain) return {};
  const Comparison others = this->Compare(suspect, carried, evidence);
  const bool is_part = suspect.kind == FingerprintKind::kPromptPart;
  if (is_part &&
      (!certain || others.tied || !this->IsAtMostEnds(unexplained, evidence))) {
    return {};
  }
  if (certain && !others.tied) return {this->settings.certain_block, false};
  if (!certain && others.shared) return {};
  return {this->settings.probable_block, true};
}

bool Quarantine::AwaitsTrial(const Fingerprint& suspect,
                             const std::vector<Fingerprint>& carried,
                             TimePoint now) const {
  const auto found = this->suspects.find(suspect);
  if (found == this->suspects.end()) return false;
  const Crashes unexplained = this->Unexplained(suspect, carried);
  const Block block = this->BlockOf(suspect, carried, unexplained);
  if (!block.then_trial) return false;
  return now - this->Weigh(unexplained).chain.back().at >= block.length;
}

Duration Quarantine::TrialRemaining(const Fingerprint& suspect,
                                    TimePoint now) const {
  const auto trial = this->trials.find(suspect);
  if (trial == this->trials.end()) return Duration(0);
  return trial->second + this->settings.trial_period - now;
}

bool Quarantine::OnSent(const RequestFingerprints& request, TimePoint now) {
  if (this->suspects.empty()) return false;
  const std::vector<Fingerprint> carried = Carried(request);
  bool on_trial = false;
  for (const Fingerprint& suspect : carried) {
    if (!this->AwaitsTrial(suspect, carried, now)) continue;
    this->trials[suspect] = now;
    on_trial = true;
  }
  return on_trial;
}

std::optional<Verdict> Quarantine::JudgeCarried(
    const Fingerprint& suspect, const std::vector<Fingerprint>& carried,
    TimePoint now) const {
  const auto found = this->suspects.find(suspect);
  if (found == this->suspects.end()) return std::nullopt;
  // Popular parts are suspects often, and cheaply seen to be innocent.
  const auto unrefuted = static_cast<double>(CountUnrefuted(found->second));
  if (unrefuted < this->settings.probable) return std::nullopt;
  const Crashes unexplained = this->Unexplained(suspect, carried);
  const Block block = this->BlockOf(suspect, carried, unexplained);
  if (block.length <= Duration(0)) return std::nullopt;
  const Evidence evidence = this->Weigh(unexplained);
  Verdict verdict;
  verdict.suspect = suspect;
  verdict.crashes = evidence.chain.size();
  verdict.last_crash_age = now - evidence.chain.back().at;
  verdict.blocked_for = block.length - verdict.last_crash_age;
  if (verdict.blocked_for <= Duration(0) && block.then_trial) {
    verdict.blocked_for = this->TrialRemaining(suspect, now);
  }
  if (verdict.blocked_for <= Duration(0)) return std::nullopt;
  return verdict;
}

std::optional<Verdict> Quarantine::Judge(const Fingerprint& suspect,
                                         TimePoint now) const {
  return this->JudgeCarried(suspect, {suspect}, now);
}

std::optional<Verdict> Quarantine::Judge(const RequestFingerprints& request,
                                         TimePoint now) const {
  const std::vector<Fingerprint> carried = Carried(request);
  std::optional<Verdict> longest;
  for (const Fingerprint& suspect : carried) {
    const auto verdict = this->JudgeCarried(suspect, carried, now);
    if (!verdict) continue;
    if (longest && longest->blocked_for >= verdict->blocked_for) continue;
    longest = verdict;
  }
  return longest;
}

std::optional<Suspicion> Quarantine::SuspicionOf(
    const RequestFingerprints& request) const {
  std::optional<Suspicion> most;
  for (const Fingerprint& suspect : Carried(request)) {
    const auto found = this->suspects.find(suspect);
    if (found == this->suspects.end()) continue;
    const Crashes& crashes = found->second;
    if (most && most->crashes + most->refuted >= crashes.size()) continue;
    const std::size_t unrefuted = CountUnrefuted(crashes);
    most = Suspicion{suspect, unrefuted, crashes.size() - unrefuted,
                     this->Weigh(crashes).weight};
  }
  return most;
}

bool Quarantine::MayRetry(const RequestFingerprints& request,
                          TimePoint now) const {
  if (this->Judge(request, now)) return false;
  const std::vector<Fingerprint> carried = Carried(request);
  return std::none_of(
      carried.begin(), carried.end(), [&](const Fingerprint& suspect) {
        const Evidence evidence = this->Weigh(this->WithNewestRun(suspect));
        return evidence.weight >= this->settings.probable;
      });
}

Quarantine::Crashes Quarantine::WithNewestRun(
    const Fingerprint& suspect) const {
  std::optional<Crash> newest;
  for (const auto& [key, runs] : this->undecided) {
    const auto found = runs.begun.find(suspect);
    if (found == runs.begun.end() || found->second.ran_long) continue;
    const BegunRun& run = found->second;
    // Most endpoints that are silent for a while have not ended.
    if (run.silent) continue;
    if (newest && newest->at >= run.broke_at) continue;
    newest = Crash{runs.endpoint, run.sent_at, run.broke_at, run.ran,
                   false,         run.waiting, true};
  }
  Crashes crashes;
  const auto known = this->suspects.find(suspect);
  if (known != this->suspects.end()) crashes = known->second;
  if (newest) InsertByTime(crashes, *newest);
  return crashes;
}

std::size_t Quarantine::BlockedCount(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      this->suspects.begin(), this->suspects.end(), [&](const auto& entry) {
        return this->Judge(entry.first, now).has_value();
      }));
}

}  // namespace toucanwharf::quarantine
