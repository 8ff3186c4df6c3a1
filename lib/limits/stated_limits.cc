#include "toucanwharf/limits/stated_limits.h"

#include <algorithm>
#include <string>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"

namespace toucanwharf::limits {
namespace {

/// A statement holds this long without another: an endpoint to which nothing is
/// sent can't tell that its need is over.
constexpr Duration kMinValidity = std::chrono::seconds(30);
/// It holds at least until so many requests may have been sent.
constexpr double kMinRequests = 4;
constexpr Duration kMaxValidity = std::chrono::minutes(10);
/// That a limit has ended is reported for this long.
constexpr Duration kReported = std::chrono::seconds(10);
constexpr double kMicrosPerSecond = 1e6;

Duration ValidityOf(double per_second) {
  const double needed = kMinRequests / std::max(per_second, 1e-9);
  const double limited =
      std::min(needed * kMicrosPerSecond,
               static_cast<double>(Duration(kMaxValidity).count()));
  const Duration validity(static_cast<std::int64_t>(limited));
  // Nothing can be sent at zero, so that waiting for an answer is of no use.
  return per_second > 0 ? std::max<Duration>(kMinValidity, validity)
                        : kMinValidity;
}

}  // namespace

std::optional<double> ParseRate(std::string_view text) {
  constexpr std::size_t kMaxLength = 20;
  if (text.empty() || text.size() > kMaxLength) return std::nullopt;
  const bool plain = std::all_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_isdigit(c) || c == '.';
  });
  double rate = 0;
  if (!plain || !absl::SimpleAtod(std::string(text), &rate)) {
    return std::nullopt;
  }
  return rate;
}

bool StatedLimits::OnAnswer(std::uint32_t endpoint,
                            std::optional<double> per_second, TimePoint sent,
                            TimePoint now) {
  const auto known = this->statements.find(endpoint);
  const bool is_known = known != this->statements.end();
  if (!per_second && !is_known) return false;
  // An answer to an earlier request may have begun before the need.
  if (!per_second && sent <= known->second.at) return false;
  return this->Apply(endpoint, {per_second, now, true}, now);
}

bool StatedLimits::Merge(const LimitReport& report, TimePoint now) {
  const TimePoint at = now - report.age;
  const auto known = this->statements.find(report.endpoint);
  const bool newer = known == this->statements.end() || known->second.at < at;
  if (!newer) return false;
  return this->Apply(report.endpoint, {report.per_second, at, false}, now);
}

bool StatedLimits::Apply(std::uint32_t endpoint, const Statement& statement,
                         TimePoint now) {
  const auto before = this->Find(endpoint, now);
  this->statements[endpoint] = statement;
  return this->Find(endpoint, now) != before;
}

bool StatedLimits::Holds(const Statement& statement, TimePoint now) {
  return statement.per_second &&
         now - statement.at < ValidityOf(*statement.per_second);
}

std::optional<double> StatedLimits::Find(std::uint32_t endpoint,
                                         TimePoint now) const {
  const auto found = this->statements.find(endpoint);
  if (found == this->statements.end()) return std::nullopt;
  return Holds(found->second, now) ? found->second.per_second : std::nullopt;
}

std::vector<LimitReport> StatedLimits::Reports(TimePoint now,
                                               bool include_heard) {
  std::erase_if(this->statements, [now](const auto& entry) {
    return !Holds(entry.second, now) && now - entry.second.at > kReported;
  });
  std::vector<LimitReport> reports;
  for (const auto& [endpoint, statement] : this->statements) {
    if (!statement.first_hand && !include_heard) continue;
    reports.push_back({endpoint, statement.per_second, now - statement.at});
  }
  return reports;
}

std::size_t StatedLimits::Count(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      this->statements.begin(), this->statements.end(),
      [now](const auto& entry) { return Holds(entry.second, now); }));
}

}  // namespace toucanwharf::limits
