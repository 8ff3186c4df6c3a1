#include "toucanwharf/admission/limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace toucanwharf::admission {
namespace {

/// Weight of one more request in the mean of memory taken.
constexpr double kSmoothing = 0.1;

}  // namespace

void Limiter::SetRouters(std::uint32_t routers) {
  assert(routers > 0 && "this router is one of them");
  this->settings.routers = routers;
}

void Limiter::SetPartOfPool(double part) {
  // A little of an equal part is kept for work of which no use is known yet.
  constexpr double kEqual = 0.1;
  this->part_of_pool = part * (1 - kEqual) + kEqual / this->settings.routers;
}

void Limiter::Add(routing::Endpoint endpoint, std::uint32_t slots) {
  if (routing::IndexOf(endpoint) >= this->entries.size()) {
    this->entries.resize(routing::IndexOf(endpoint) + 1);
  }
  Entry& entry = this->At(endpoint);
  const bool fresh = !entry.known;
  entry.known = true;
  if (fresh) {
    entry.slots = slots;
    entry.claim = this->PartOfPool();
    entry.limit = this->FairPart(entry);
  }
  this->Update(endpoint);
}

void Limiter::Remove(routing::Endpoint endpoint) {
  if (routing::IndexOf(endpoint) >= this->entries.size()) return;
  this->At(endpoint).known = false;
  this->Update(endpoint);
}

void Limiter::SetPart(routing::Endpoint endpoint, double part) {
  this->At(endpoint).part = part;
  this->Update(endpoint);
}

void Limiter::Reported(routing::Endpoint endpoint, const LimitSample& sample) {
  Entry& entry = this->At(endpoint);
  entry.slots = sample.slots;
  entry.refused = false;
  const double target =
      sample.slots + this->settings.backlog * this->settings.routers;
  const double free = target - sample.running - sample.queued;
  const double least_claim = 1.0 / this->settings.routers;
  // A queue means that all routers together claimed too much. Slots left free
  // though they were offered mean that some routers have nothing to send.
  const bool full = free < 0 || sample.memory_free < 0;
  const bool idle = sample.running + 1 <= sample.slots && sample.queued < 1 &&
                    sample.memory_free > 2 * entry.mean_memory;
  if (full) entry.claim /= 2;
  if (idle) entry.claim *= 2;
  entry.claim = std::clamp(entry.claim, least_claim, 1.0);
  entry.limit = std::max(sample.own + free * (free > 0 ? entry.claim : 1.0),
                         this->FairPart(entry));
  const double memory_part = sample.memory_free > 0 ? entry.claim : 1.0;
  entry.memory_limit = std::max(
      sample.own_memory + sample.memory_free * memory_part, entry.mean_memory);
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
  assert(entry.in_flight > 0 && "only work that was started can finish");
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
         this->At(endpoint).place != 0;
}

double Limiter::LimitOf(routing::Endpoint endpoint) const {
  return Allowed(this->At(endpoint));
}

Limiter::Entry& Limiter::At(routing::Endpoint endpoint) {
  assert(routing::IndexOf(endpoint) < this->entries.size() &&
         "endpoint was added");
  return this->entries[routing::IndexOf(endpoint)];
}

const Limiter::Entry& Limiter::At(routing::Endpoint endpoint) const {
  assert(routing::IndexOf(endpoint) < this->entries.size() &&
         "endpoint was added");
  return this->entries[routing::IndexOf(endpoint)];
}

double Limiter::PartOfPool() const {
  return this->part_of_pool.value_or(1.0 / this->settings.routers);
}

/// Every router keeps at least this, so that one which starts late isn't shut
/// out by those that already fill the endpoint.
double Limiter::FairPart(const Entry& entry) const {
  const double part = entry.slots * this->PartOfPool();
  return std::max(std::round(part), 1.0);
}

double Limiter::Allowed(const Entry& entry) {
  if (!entry.known || entry.refused || entry.part <= 0) return 0;
  return std::max(entry.limit * entry.part, 1.0);
}

bool Limiter::Fits(const Entry& entry) const {
  if (entry.in_flight + 1 > Allowed(entry) + 1e-9) return false;
  if (entry.in_flight == 0) return true;
  const double more = entry.mean_memory * this->settings.memory_part;
  return entry.memory + more <= entry.memory_limit;
}

void Limiter::Update(routing::Endpoint endpoint) {
  Entry& entry = this->At(endpoint);
  const bool has_room = this->Fits(entry);
  if (has_room == (entry.place != 0)) return;
  if (has_room) {
    this->room.push_back(endpoint);
    entry.place = this->room.size();
    return;
  }
  const routing::Endpoint last = this->room.back();
  this->room[entry.place - 1] = last;
  this->At(last).place = entry.place;
  this->room.pop_back();
  entry.place = 0;
}

}  // namespace toucanwharf::admission
