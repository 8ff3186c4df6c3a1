#include "toucanwharf/admission/limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace toucanwharf::admission {

void Limiter::SetRouters(std::uint32_t routers) {
  assert(routers > 0 && "this router is one of them");
  this->settings.routers = routers;
}

void Limiter::Add(routing::Endpoint endpoint, std::uint32_t slots) {
  if (routing::IndexOf(endpoint) >= this->entries.size()) {
    this->entries.resize(routing::IndexOf(endpoint) + 1);
  }
  Entry& entry = this->At(endpoint);
  const bool fresh = !entry.known;
  entry.known = true;
  if (fresh) {
    entry.usable = slots;
    entry.claim = 1.0 / this->settings.routers;
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
  entry.refused = false;
  // KV memory may run out before the slots do. Counting slots that no request
  // can use as free would let a queue grow inside the endpoint.
  const double usable =
      std::min<double>(sample.slots, sample.running + sample.memory_room);
  entry.usable = usable;
  const double target =
      usable + this->settings.backlog * this->settings.routers;
  const double free = target - sample.running - sample.queued;
  const double least_claim = 1.0 / this->settings.routers;
  // A queue means that all routers together claimed too much. Slots left free
  // though they were offered mean that some routers have nothing to send.
  const bool idle = sample.running + 1 <= usable && sample.queued < 1;
  entry.claim = free < 0 ? entry.claim / 2 : entry.claim;
  entry.claim = idle ? entry.claim * 2 : entry.claim;
  entry.claim = std::clamp(entry.claim, least_claim, 1.0);
  entry.limit = std::max(sample.own + free * (free > 0 ? entry.claim : 1.0),
                         this->FairPart(entry));
  this->Update(endpoint);
}

void Limiter::Started(routing::Endpoint endpoint) {
  ++this->At(endpoint).in_flight;
  this->Update(endpoint);
}

void Limiter::Finished(routing::Endpoint endpoint) {
  Entry& entry = this->At(endpoint);
  assert(entry.in_flight > 0 && "only work that was started can finish");
  --entry.in_flight;
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

/// Every router keeps at least this, so that one which starts late isn't shut
/// out by those that already fill the endpoint.
double Limiter::FairPart(const Entry& entry) const {
  return std::max(std::floor(entry.usable / this->settings.routers), 1.0);
}

double Limiter::Allowed(const Entry& entry) {
  if (!entry.known || entry.refused || entry.part <= 0) return 0;
  return std::max(entry.limit * entry.part, 1.0);
}

void Limiter::Update(routing::Endpoint endpoint) {
  Entry& entry = this->At(endpoint);
  const bool has_room = entry.in_flight + 1 <= Allowed(entry) + 1e-9;
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
