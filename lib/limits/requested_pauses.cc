#include "toucanwharf/limits/requested_pauses.h"

#include <algorithm>

#include "toucanwharf/limits/stated_limits.h"

namespace toucanwharf::limits {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/// An endpoint that takes a request has usually begun to answer by then.
constexpr Duration kTrialTimeout = std::chrono::milliseconds(300);
/// Pause of an endpoint that names no time: some of its answers end meanwhile.
constexpr Duration kFirstPause = std::chrono::milliseconds(400);
/// Each trial costs its caller an answer, so pauses grow to 1.6 s.
constexpr int kMaxDoublings = 2;
/// An endpoint that was sent nothing for so long after its pause is like any
/// other.
constexpr Duration kRemembered = std::chrono::seconds(10);

}  // namespace

std::optional<Duration> ParseRetryAfter(std::string_view text) {
  const auto seconds = ParseRate(text);
  if (!seconds) return std::nullopt;
  const auto max =
      static_cast<double>(Duration(RequestedPauses::kMaxPause).count());
  return Duration(
      static_cast<std::int64_t>(std::min(*seconds * kMicrosPerSecond, max)));
}

void RequestedPauses::Set(std::uint32_t endpoint, const Pause& pause) {
  const auto [known, added] = this->pauses.try_emplace(endpoint, pause);
  if (!added && pause.sent >= known->second.sent) known->second = pause;
}

void RequestedPauses::OnPause(std::uint32_t endpoint, Duration length,
                              TimePoint sent, TimePoint now) {
  this->Set(endpoint, Pause{now + length, sent, {}, 0});
}

void RequestedPauses::OnRefusal(std::uint32_t endpoint, TimePoint sent,
                                TimePoint now) {
  const auto known = this->pauses.find(endpoint);
  const bool is_known = known != this->pauses.end();
  // Requests that were under way together are refused together.
  if (is_known && now < known->second.until) return;
  const int refusals = is_known ? known->second.refusals : 0;
  const Duration length = kFirstPause * (1 << refusals);
  this->Set(
      endpoint,
      Pause{now + length, sent, {}, std::min(refusals + 1, kMaxDoublings)});
}

void RequestedPauses::OnSend(std::uint32_t endpoint, TimePoint now) {
  const auto found = this->pauses.find(endpoint);
  if (found == this->pauses.end() || now < found->second.until) return;
  found->second.trial_until = now + kTrialTimeout;
}

void RequestedPauses::OnTaken(std::uint32_t endpoint, TimePoint sent) {
  const auto found = this->pauses.find(endpoint);
  if (found == this->pauses.end() || sent < found->second.until) return;
  this->pauses.erase(found);
}

Duration RequestedPauses::Wait(std::uint32_t endpoint, TimePoint now) const {
  const auto found = this->pauses.find(endpoint);
  if (found == this->pauses.end()) return Duration(0);
  const TimePoint until =
      std::max(found->second.until, found->second.trial_until);
  return std::max(until - now, Duration(0));
}

std::size_t RequestedPauses::Count(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      this->pauses.begin(), this->pauses.end(),
      [now](const auto& entry) { return now < entry.second.until; }));
}

void RequestedPauses::RetainOnly(const std::set<std::uint32_t>& known,
                                 TimePoint now) {
  std::erase_if(this->pauses, [&](const auto& entry) {
    const bool is_over = now - entry.second.until >= kRemembered;
    return is_over || !known.contains(entry.first);
  });
  std::erase_if(this->leaving,
                [&](std::uint32_t key) { return !known.contains(key); });
}

}  // namespace toucanwharf::limits
