#include "toucanwharf/routing/ejection.h"

#include <algorithm>
#include <cassert>

namespace toucanwharf::routing {
namespace {

/// Initial fraction of its share in slow start: enough to detect within a few
/// seconds whether the endpoint answers.
constexpr double kInitialRamp = 0.1;

/// Maximum doublings of the ejection time; more exceed any maximum.
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
  entry.slow_starting = fresh;
  entry.added = now;
  entry.ejected_until = now;
}

void Ejection::Remove(Endpoint endpoint) {
  if (IndexOf(endpoint) >= this->entries.size()) return;
  this->entries[IndexOf(endpoint)] = Entry{};
}

void Ejection::Succeeded(TimePoint now, Endpoint endpoint) {
  Entry& entry = this->RecordUse(now, endpoint);
  entry.failure_run = 0;
  entry.failed = false;
  ++entry.successes;
  if (entry.successes >= this->settings.successes_to_reset) {
    entry.ejections = 0;
  }
}

bool Ejection::Failed(TimePoint now, Endpoint endpoint) {
  Entry& entry = this->RecordUse(now, endpoint);
  entry.failed = true;
  entry.last_failure = now;
  entry.successes = 0;
  ++entry.failure_run;
  if (this->SuspectsLocalFault(now)) {
    // The router's own link is faulty: every endpoint seems dead from here.
    // Endpoints ejected on that evidence are reinstated, or the pool would be
    // empty when the link recovers.
    this->ReinstateAll(now);
    return false;
  }
  if (entry.failure_run < this->settings.consecutive_failures) return false;
  if (entry.ejected_until > now || !this->MayEject(now)) return false;
  this->Eject(now, entry);
  return true;
}

bool Ejection::Usable(TimePoint now, Endpoint endpoint) const {
  return this->Ramp(now, endpoint) > 0;
}

double Ejection::Ramp(TimePoint now, Endpoint endpoint) const {
  if (IndexOf(endpoint) >= this->entries.size()) return 0;
  const Entry& entry = this->entries[IndexOf(endpoint)];
  if (!entry.known || entry.ejected_until > now) return 0;
  if (!entry.slow_starting) return 1;
  const TimePoint since = std::max(entry.added, entry.ejected_until);
  const double age = std::chrono::duration<double>(now - since).count();
  const double full =
      std::chrono::duration<double>(this->settings.slow_start).count();
  if (full <= 0) return 1;
  return std::clamp(age / full, kInitialRamp, 1.0);
}

bool Ejection::SuspectsLocalFault(TimePoint now) const {
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
  if (used < this->settings.local_fault_min_endpoints) return false;
  return failing >= used * this->settings.local_fault_share;
}

std::size_t Ejection::EjectedCount(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      this->entries.begin(), this->entries.end(), [now](const Entry& entry) {
        return entry.known && entry.ejected_until > now;
      }));
}

Ejection::Entry& Ejection::RecordUse(TimePoint now, Endpoint endpoint) {
  assert(IndexOf(endpoint) < this->entries.size() && "endpoint is unknown");
  Entry& entry = this->entries[IndexOf(endpoint)];
  entry.used = true;
  entry.last_used = now;
  return entry;
}

bool Ejection::MayEject(TimePoint now) const {
  const auto known = static_cast<double>(
      std::count_if(this->entries.begin(), this->entries.end(),
                    [](const Entry& entry) { return entry.known; }));
  const double ejected = static_cast<double>(this->EjectedCount(now)) + 1;
  // Of two or three endpoints one may be ejected, though it exceeds the maximum
  // share.
  if (ejected <= 1) return known >= 2;
  return ejected <= known * this->settings.max_share;
}

void Ejection::Eject(TimePoint now, Entry& entry) {
  const std::uint32_t doublings = std::min(entry.ejections, kMaxDoublings);
  const Duration time = this->settings.base_ejection_time * (1U << doublings);
  entry.ejected_until = now + std::min(time, this->settings.max_ejection_time);
  entry.failure_run = 0;
  entry.slow_starting = true;
  ++entry.ejections;
}

void Ejection::ReinstateAll(TimePoint now) {
  for (Entry& entry : this->entries) {
    if (entry.ejected_until > now) entry.ejected_until = now;
  }
}

}  // namespace toucanwharf::routing
