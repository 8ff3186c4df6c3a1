#include "toucanwharf/admission/limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace toucanwharf::admission {
namespace {

/// Weight of the newest request in the mean KV memory.
constexpr double kSmoothing = 0.1;

}  // namespace

void Limiter::SetRouters(std::uint32_t routers) {
  assert(routers > 0 && "routers include this one");
  this->settings.routers = routers;
}

void Limiter::SetPoolShare(double share) {
  // A small equal share is reserved for work without known use so far.
  constexpr double kReservedShare = 0.1;
  this->pool_share =
      share * (1 - kReservedShare) + kReservedShare / this->settings.routers;
}

void Limiter::Add(routing::Endpoint endpoint, std::uint32_t slots) {
  if (routing::IndexOf(endpoint) >= this->entries.size()) {
    this->entries.resize(routing::IndexOf(endpoint) + 1);
  }
  Entry& entry = this->At(endpoint);
  const bool is_new = !entry.known;
  entry.known = true;
  if (is_new) {
    entry.slots = slots;
    entry.claim = this->PoolShare();
    entry.limit = this->FairShare(entry);
  }
  this->Update(endpoint);
}

void Limiter::Remove(routing::Endpoint endpoint) {
  if (routing::IndexOf(endpoint) >= this->entries.size()) return;
  this->At(endpoint).known = false;
  this->Update(endpoint);
}

void Limiter::SetLimitFactor(routing::Endpoint endpoint, double factor) {
  this->At(endpoint).limit_factor = factor;
  this->Update(endpoint);
}

void Limiter::Reported(routing::Endpoint endpoint, const LimitSample& sample) {
  Entry& entry = this->At(endpoint);
  entry.slots = sample.slots;
  entry.refused = false;
  const double target =
      sample.slots + this->settings.backlog * this->settings.routers;
  const double free = target - sample.running - sample.queued;
  const double min_claim = 1.0 / this->settings.routers;
  // A queue means that all routers together claimed too much. Slots that stay
  // free though they were offered mean that some routers have nothing to send.
  const bool overcommitted = free < 0 || sample.memory_free < 0;
  const bool idle = sample.running + 1 <= sample.slots && sample.queued < 1 &&
                    sample.memory_free > 2 * entry.mean_memory;
  if (overcommitted) entry.claim /= 2;
  if (idle) entry.claim *= 2;
  entry.claim = std::clamp(entry.claim, min_claim, 1.0);
  entry.limit =
      std::max(sample.in_flight + free * (free > 0 ? entry.claim : 1.0),
               this->FairShare(entry));
  const double memory_part = sample.memory_free > 0 ? entry.claim : 1.0;
  entry.memory_limit =
      std::max(sample.in_flight_memory + sample.memory_free * memory_part,
               entry.mean_memory);
  this->Update(endpoint);
}

void Limiter::Started(routing::Endpoint endpoint, double memory) {
  Entry& entry = this->At(endpoint);
  ++entry.in_flight;
  entry.memory += memory;
  if (entry.mean_memory == 0) entry.mean_memory = memory;
  entry.mean_memory += kSmoothing * (memory - entry.mean_memory);
  this->Update(endpoint);
}

void Limiter::Finished(routing::Endpoint endpoint, double memory) {
  Entry& entry = this->At(endpoint);
  assert(entry.in_flight > 0 && "no work in flight");
  --entry.in_flight;
  entry.memory = entry.in_flight == 0 ? 0 : entry.memory - memory;
  entry.refused = false;
  this->Update(endpoint);
}

void Limiter::Refused(routing::Endpoint endpoint) {
  this->At(endpoint).refused = true;
  this->Update(endpoint);
}

bool Limiter::HasRoom(routing::Endpoint endpoint) const {
  return routing::IndexOf(endpoint) < this->entries.size() &&
         this->At(endpoint).available_index != 0;
}

double Limiter::LimitOf(routing::Endpoint endpoint) const {
  return EffectiveLimit(this->At(endpoint));
}

Limiter::Entry& Limiter::At(routing::Endpoint endpoint) {
  assert(routing::IndexOf(endpoint) < this->entries.size() &&
         "endpoint is unknown");
  return this->entries[routing::IndexOf(endpoint)];
}

const Limiter::Entry& Limiter::At(routing::Endpoint endpoint) const {
  assert(routing::IndexOf(endpoint) < this->entries.size() &&
         "endpoint is unknown");
  return this->entries[routing::IndexOf(endpoint)];
}

double Limiter::PoolShare() const {
  return this->pool_share.value_or(1.0 / this->settings.routers);
}

/// Every router keeps at least this, so that one that starts late isn't
/// excluded by those that already fill the endpoint.
double Limiter::FairShare(const Entry& entry) const {
  const double share = entry.slots * this->PoolShare();
  return std::max(std::round(share), 1.0);
}

double Limiter::EffectiveLimit(const Entry& entry) {
  if (!entry.known || entry.refused || entry.limit_factor <= 0) return 0;
  return std::max(entry.limit * entry.limit_factor, 1.0);
}

bool Limiter::AdmitsOneMore(const Entry& entry) const {
  if (entry.in_flight + 1 > EffectiveLimit(entry) + 1e-9) return false;
  if (entry.in_flight == 0) return true;
  const double more = entry.mean_memory * this->settings.memory_part;
  return entry.memory + more <= entry.memory_limit;
}

void Limiter::Update(routing::Endpoint endpoint) {
  Entry& entry = this->At(endpoint);
  const bool admits = this->AdmitsOneMore(entry);
  if (admits == (entry.available_index != 0)) return;
  if (admits) {
    this->available.push_back(endpoint);
    entry.available_index = this->available.size();
    return;
  }
  const routing::Endpoint last = this->available.back();
  this->available[entry.available_index - 1] = last;
  this->At(last).available_index = entry.available_index;
  this->available.pop_back();
  entry.available_index = 0;
}

}  // namespace toucanwharf::admission
