#include "toucanwharf/routing/ejection.h"

#include <algorithm>
#include <cassert>

namespace toucanwharf::routing {
namespace {

/// Part of its share with which an endpoint starts: enough to see in a few
/// seconds whether it answers.
constexpr double kFirstRamp = 0.1;

/// Doublings of the time out that are counted; more exceed any maximum.
constexpr std::uint32_t kMaxDoublings = 8;

}  // namespace

void Ejection::Add(TimePoint now, Endpoint endpoint, bool fresh) {
  if (IndexOf(endpoint) >= this->entries.size()) {
    this->entries.resize(IndexOf(endpoint) + 1);
  }
  Entry& entry = this->entries[IndexOf(endpoint)];
  if (entry.known) return;
  entry = Entry{};
  entry.known = true;
  entry.ramped = fresh;
  entry.added = now;
  entry.out_until = now;
}

void Ejection::Remove(Endpoint endpoint) {
  if (IndexOf(endpoint) >= this->entries.size()) return;
  this->entries[IndexOf(endpoint)] = Entry{};
}

void Ejection::Succeeded(TimePoint now, Endpoint endpoint) {
  Entry& entry = this->Use(now, endpoint);
  entry.in_a_row = 0;
  entry.failed = false;
  ++entry.successes;
  if (entry.successes >= this->settings.successes_to_forget) {
    entry.ejections = 0;
  }
}

bool Ejection::Failed(TimePoint now, Endpoint endpoint) {
  Entry& entry = this->Use(now, endpoint);
  entry.failed = true;
  entry.last_failure = now;
  entry.successes = 0;
  ++entry.in_a_row;
  if (this->SuspectsSelf(now)) {
    // The router's own link fails: every endpoint seems dead from here. What
    // was ejected on that evidence comes back, or the router would serve from
    // an empty pool when its link returns.
    this->ReinstateAll(now);
    return false;
  }
  if (entry.in_a_row < this->settings.failures_in_a_row) return false;
  if (entry.out_until > now || !this->MayEject(now)) return false;
  this->Eject(now, entry);
  return true;
}

bool Ejection::Usable(TimePoint now, Endpoint endpoint) const {
  return this->Ramp(now, endpoint) > 0;
}

double Ejection::Ramp(TimePoint now, Endpoint endpoint) const {
  if (IndexOf(endpoint) >= this->entries.size()) return 0;
  const Entry& entry = this->entries[IndexOf(endpoint)];
  if (!entry.known || entry.out_until > now) return 0;
  if (!entry.ramped) return 1;
  const TimePoint since = std::max(entry.added, entry.out_until);
  const double age = std::chrono::duration<double>(now - since).count();
  const double full =
      std::chrono::duration<double>(this->settings.slow_start).count();
  if (full <= 0) return 1;
  return std::clamp(age / full, kFirstRamp, 1.0);
}

bool Ejection::SuspectsSelf(TimePoint now) const {
  std::uint32_t used = 0;
  std::uint32_t failing = 0;
  for (const Entry& entry : this->entries) {
    if (!entry.known || !entry.used) continue;
    if (now - entry.last_used > this->settings.window) continue;
    ++used;
    if (entry.failed && now - entry.last_failure <= this->settings.window) {
      ++failing;
    }
  }
  if (used < this->settings.self_least) return false;
  return failing >= used * this->settings.self_share;
}

std::size_t Ejection::EjectedCount(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      this->entries.begin(), this->entries.end(), [now](const Entry& entry) {
        return entry.known && entry.out_until > now;
      }));
}

Ejection::Entry& Ejection::Use(TimePoint now, Endpoint endpoint) {
  assert(IndexOf(endpoint) < this->entries.size() && "endpoint was added");
  Entry& entry = this->entries[IndexOf(endpoint)];
  entry.used = true;
  entry.last_used = now;
  return entry;
}

bool Ejection::MayEject(TimePoint now) const {
  const auto known = static_cast<double>(
      std::count_if(this->entries.begin(), this->entries.end(),
                    [](const Entry& entry) { return entry.known; }));
  const double out = static_cast<double>(this->EjectedCount(now)) + 1;
  // Of two or three endpoints one may go, though it is over the share.
  if (out <= 1) return known >= 2;
  return out <= known * this->settings.max_share;
}

void Ejection::Eject(TimePoint now, Entry& entry) {
  const std::uint32_t doublings = std::min(entry.ejections, kMaxDoublings);
  const Duration time = this->settings.base_time * (1U << doublings);
  entry.out_until = now + std::min(time, this->settings.max_time);
  entry.in_a_row = 0;
  entry.ramped = true;
  ++entry.ejections;
}

void Ejection::ReinstateAll(TimePoint now) {
  for (Entry& entry : this->entries) {
    if (entry.out_until > now) entry.out_until = now;
  }
}

}  // namespace toucanwharf::routing
