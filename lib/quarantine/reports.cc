#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include "crashes.h"
#include "toucanwharf/quarantine/quarantine.h"

namespace toucanwharf::quarantine {

std::string_view ToText(RunStage stage) {
  switch (stage) {
    case RunStage::kWaiting:
      return "waiting";
    case RunStage::kBegun:
      return "begun";
    case RunStage::kLongBegun:
      return "long_begun";
    case RunStage::kProven:
      return "proven";
  }
  return "";
}

SuspectReport Quarantine::ToReport(const Fingerprint& suspect,
                                   const Crashes& crashes,
                                   TimePoint now) const {
  SuspectReport report;
  report.suspect = suspect;
  for (const Crash& crash : crashes) {
    report.crashes.push_back({crash.endpoint, now - crash.at,
                              crash.at - crash.sent_at, crash.ran,
                              crash.refuted, crash.waiting});
  }
  const auto trial = this->trials.find(suspect);
  if (trial != this->trials.end()) report.trial_age = now - trial->second;
  return report;
}

SuspectReport Quarantine::ReportOf(const Fingerprint& suspect,
                                   TimePoint now) const {
  const auto found = this->suspects.find(suspect);
  return this->ToReport(
      suspect, found == this->suspects.end() ? Crashes() : found->second, now);
}

std::vector<SuspectReport> Quarantine::Reports(TimePoint now) {
  this->Prune(now);
  using Entry = std::pair<const Fingerprint, Crashes>;
  std::vector<const Entry*> ranked;
  for (const Entry& entry : this->suspects) ranked.push_back(&entry);
  // A part may come again in any request, a request only as a whole.
  const auto rank = [&](const Entry* entry) {
    const Crashes& crashes = entry->second;
    const bool only_here =
        std::any_of(crashes.begin(), crashes.end(), [&](const Crash& crash) {
          return crash.own && !crash.refuted &&
                 now - crash.at <= this->settings.own_first;
        });
    const bool is_news = only_here || this->trials.contains(entry->first);
    return std::tuple(is_news, crashes.size(), entry->first.kind,
                      crashes.back().at);
  };
  if (ranked.size() > this->settings.max_reported) {
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(
                                           this->settings.max_reported),
                      ranked.end(), [&](const Entry* lhs, const Entry* rhs) {
                        return rank(lhs) > rank(rhs);
                      });
    ranked.resize(this->settings.max_reported);
  }
  std::vector<SuspectReport> reports;
  for (const Entry* entry : ranked) {
    Crashes crashes = entry->second;
    this->Trim(crashes, this->settings.max_crashes_reported);
    reports.push_back(this->ToReport(entry->first, crashes, now));
  }
  return reports;
}

}  // namespace toucanwharf::quarantine
