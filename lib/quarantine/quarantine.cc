#include "toucanwharf/quarantine/quarantine.h"

#include <algorithm>
#include <utility>

#include "crashes.h"

namespace toucanwharf::quarantine {
namespace {

constexpr Duration kPrunePeriod = std::chrono::seconds(1);

}  // namespace

void Quarantine::OnRunBroken(const BrokenRun& run, TimePoint now) {
  this->Prune(now);
  BrokenRuns& runs = this->undecided[run.endpoint.key];
  runs.endpoint = run.endpoint;
  runs.last_at = std::max(runs.last_at, run.silent_since.value_or(now));
  runs.recorded_at = now;
  if (run.stage == RunStage::kProven) {
    this->OnSuccess(run.request, now);
    return;
  }
  // A request may crash an endpoint before anything of the answer has come.
  this->CountBegun(runs, run, now);
}

void Quarantine::CountBegun(BrokenRuns& runs, const BrokenRun& run,
                            TimePoint now) {
  for (const Fingerprint& suspect : Carried(run.request)) {
    BegunRun& begun = runs.begun[suspect];
    // Of several runs with a part the last one may have been the first after
    // the crash before.
    begun.sent_at = std::max(begun.sent_at, run.sent_at);
    begun.broke_at = std::max(begun.broke_at, run.silent_since.value_or(now));
    begun.silent = begun.silent && run.silent_since.has_value();
    begun.ran = std::max(begun.ran, run.ran);
    begun.ran_long = begun.ran_long || run.stage == RunStage::kLongBegun;
    begun.waiting = begun.waiting && run.stage == RunStage::kWaiting;
  }
}

std::vector<Fingerprint> Quarantine::OnEndpointEnded(std::uint32_t key,
                                                     TimePoint now) {
  std::vector<Fingerprint> added;
  const auto found = this->undecided.find(key);
  if (found == this->undecided.end()) return added;
  const BrokenRuns runs = std::move(found->second);
  this->undecided.erase(found);
  this->RecordEnd(key, runs.last_at);
  for (const auto& [suspect, run] : runs.begun) {
    // An end breaks all runs at one moment; those before broke off. One of
    // which nothing had come may have been silent for long when it came.
    const bool at_end =
        runs.last_at - run.broke_at <= this->settings.joint_window ||
        (run.waiting && run.silent);
    if (!at_end || run.ran_long) continue;
    const Crash crash{runs.endpoint, run.sent_at, runs.last_at, run.ran,
                      false,         run.waiting, true};
    if (this->Add(suspect, crash, now)) added.push_back(suspect);
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
  for (auto& [suspect, crashes] : this->suspects) {
    for (Crash& crash : crashes) {
      if (crash.endpoint.key != key || crash.refuted) continue;
      crash.refuted = true;
      cleared.push_back(suspect);
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

std::vector<Fingerprint> Quarantine::OnSuccess(
    const RequestFingerprints& request, TimePoint now) {
  std::vector<Fingerprint> cleared;
  for (const Fingerprint& suspect : Carried(request)) {
    if (this->OnSuccess(suspect, now)) cleared.push_back(suspect);
  }
  return cleared;
}

bool Quarantine::OnSuccess(const Fingerprint& suspect, TimePoint now) {
  this->successes.Add(suspect, now);
  for (auto& [key, runs] : this->undecided) runs.begun.erase(suspect);
  const auto found = this->suspects.find(suspect);
  if (found == this->suspects.end()) return false;
  const bool suspected = CountUnrefuted(found->second) > 0;
  for (Crash& crash : found->second) crash.refuted = true;
  this->trials.erase(suspect);
  return suspected;
}

bool Quarantine::Merge(const SuspectReport& report, TimePoint now) {
  bool learned = false;
  for (const CrashReport& crash : report.crashes) {
    // Ages of another clock may be off, or anything.
    const Duration age = std::max(crash.age, Duration(0));
    if (age > this->settings.certain_block) continue;
    const TimePoint at = now - age;
    this->RecordEnd(crash.endpoint.key, at);
    const bool added =
        this->Add(report.suspect,
                  {crash.endpoint, at - crash.since_sent, at, crash.ran,
                   crash.refuted, crash.waiting.value_or(false), false},
                  now);
    if (!added) this->KeepMark(report.suspect, crash);
    learned = learned || (added && !crash.refuted);
  }
  if (report.trial_age && this->suspects.contains(report.suspect)) {
    TimePoint& trial = this->trials[report.suspect];
    trial = std::max(trial, now - std::max(*report.trial_age, Duration(0)));
  }
  return learned;
}

/// Applies what \p report tells of how far runs with \p suspect had come.
void Quarantine::KeepMark(const Fingerprint& suspect,
                          const CrashReport& report) {
  const auto found = this->suspects.find(suspect);
  if (found == this->suspects.end() || !report.waiting) return;
  for (Crash& crash : found->second) {
    if (crash.endpoint.key != report.endpoint.key) continue;
    crash.waiting = crash.waiting && *report.waiting;
  }
}

/// Returns whether the crash was not known.
bool Quarantine::Add(const Fingerprint& suspect, const Crash& crash,
                     TimePoint now) {
  this->Prune(now);
  Crashes& crashes = this->suspects[suspect];
  const auto known =
      std::find_if(crashes.begin(), crashes.end(), [&](const Crash& other) {
        return other.endpoint.key == crash.endpoint.key;
      });
  if (known != crashes.end()) {
    known->refuted = known->refuted || crash.refuted;
    known->ran = std::max(known->ran, crash.ran);
    if (crash.own) known->waiting = known->waiting && crash.waiting;
    // Several runs with a part were there, as seen by different instances.
    known->sent_at = std::max(known->sent_at, crash.sent_at);
    return false;
  }
  Crash& added = InsertByTime(crashes, crash);
  // What crashes endpoints is never answered. Another request with it may have
  // been answered a moment ago, or have run for long at the same crash.
  if (this->successes.Contains(suspect, now)) added.refuted = true;
  this->Trim(crashes, this->settings.max_crashes);
  // Other instances may keep one that is dropped, and report it again and
  // again.
  const bool kept =
      std::any_of(crashes.begin(), crashes.end(), [&](const Crash& other) {
        return other.endpoint.key == crash.endpoint.key;
      });
  if (!kept) return false;
  if (this->suspects.size() > this->settings.max_suspects) this->EvictOne();
  return this->suspects.contains(suspect);
}

void Quarantine::Trim(Crashes& crashes, std::size_t max_size) const {
  if (crashes.size() <= max_size) return;
  const Crashes chain = this->Weigh(crashes).chain;
  const auto rank = [&](const Crash& crash) {
    const bool in_chain =
        std::any_of(chain.begin(), chain.end(), [&](const Crash& other) {
          return other.endpoint.key == crash.endpoint.key;
        });
    return std::pair(in_chain, crash.at);
  };
  std::sort(crashes.begin(), crashes.end(),
            [&](const Crash& lhs, const Crash& rhs) {
              return rank(lhs) > rank(rhs);
            });
  crashes.resize(max_size);
  std::sort(crashes.begin(), crashes.end(), IsEarlier<Crash>);
}

/// Removes a suspect of the customer that has the most, so that no customer can
/// push out the entries of another: one that was answered since, or else one
/// with the fewest and oldest crashes. Parts of prompts are nobody's, and count
/// as one customer's.
void Quarantine::EvictOne() {
  std::map<std::uint32_t, std::size_t> per_customer;
  for (const auto& [suspect, crashes] : this->suspects) {
    ++per_customer[suspect.customer];
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
    return now - entry.second.recorded_at > this->settings.evidence_timeout;
  });
  std::erase_if(this->ends, [&](const auto& entry) {
    return now - entry.second > this->settings.certain_block;
  });
  std::erase_if(this->trials, [&](const auto& entry) {
    return now - entry.second > this->settings.trial_period;
  });
  std::erase_if(this->suspects, [&](const auto& entry) {
    const Duration age = now - entry.second.back().at;
    if (age <= this->settings.retention) return false;
    return age > this->settings.certain_block ||
           !this->IsCertain(this->Weigh(entry.second), entry.first.kind);
  });
}

}  // namespace toucanwharf::quarantine
