#include "toucanwharf/endpoints/endpoint_table.h"

#include <algorithm>
#include <utility>

#include "toucanwharf/support/random.h"

namespace toucanwharf::endpoints {
namespace {

std::map<std::string, Endpoint> IndexById(std::vector<Endpoint> endpoints) {
  std::map<std::string, Endpoint> all;
  for (Endpoint& endpoint : endpoints) {
    std::string id = endpoint.id;
    all.emplace(std::move(id), std::move(endpoint));
  }
  return all;
}

}  // namespace

std::uint32_t EndpointKey(const Endpoint& endpoint) {
  constexpr std::uint64_t kLowHalf = 0xffffffff;
  return static_cast<std::uint32_t>(
      MixBits(HashText(endpoint.id) ^ endpoint.start_time_ms) & kLowHalf);
}

void EndpointTable::SetInUse(ById next) {
  this->by_id = std::move(next);
  this->ids_by_key.clear();
  for (const auto& [id, endpoint] : this->by_id) {
    this->ids_by_key.emplace(EndpointKey(endpoint), id);
  }
}

const Endpoint* EndpointTable::FindByKey(std::uint32_t key) const {
  const auto found = this->ids_by_key.find(key);
  return found == this->ids_by_key.end() ? nullptr : this->Find(found->second);
}

void EndpointTable::OnStoreAnswered(TimePoint read, TimePoint now) {
  const auto previous = std::exchange(
      this->answered_at, std::max(this->answered_at.value_or(read), read));
  if (!this->last_unavailable_at) return;
  // A failed read of this instance may have started before the answered one and
  // ended after it.
  if (read >= *this->last_unavailable_at) this->last_unavailable_at.reset();
  const bool outage = !previous || read - *previous >= this->min_outage;
  if (!outage) return;
  this->retain_until = now + this->outage_grace;
  this->departures.OnReturn(now);
}

void EndpointTable::RecordRead(TimePoint read, TimePoint now) {
  this->OnStoreAnswered(read, now);
  this->confirmed_at = std::max(this->confirmed_at.value_or(read), read);
}

void EndpointTable::OnStoreReturned(TimePoint returned) {
  this->retain_until =
      std::max(this->retain_until, returned + this->outage_grace);
  this->departures.OnReturn(returned);
}

bool EndpointTable::Confirm(TimePoint read, TimePoint now) {
  this->RecordRead(read, now);
  const bool drops_retained =
      !this->retained.empty() && !this->RetainsMissing();
  const bool ends_corrections =
      this->corrected > 0 && !this->departures.Holds(now);
  if (!drops_retained && !ends_corrections) return false;
  return this->UpdateInUse(this->by_id, now);
}

bool EndpointTable::Replace(std::vector<Endpoint> newest_list,
                            const store::Revision& revision, TimePoint read,
                            TimePoint now) {
  // A late answer of an earlier epoch tells only that the store answered.
  if (revision.epoch < this->last_revision.epoch) {
    this->OnStoreAnswered(read, now);
    return false;
  }
  this->RecordRead(read, now);
  if (revision < this->last_revision) return false;
  return this->ApplyList(IndexById(std::move(newest_list)), this->by_id,
                         revision, now);
}

bool EndpointTable::Adopt(EndpointListSnapshot list, TimePoint now) {
  if (list.revision < this->last_revision) return false;
  const bool peer_retains = list.retained_for > Duration(0);
  if (peer_retains && !this->RetainsMissing()) {
    this->retain_until = now + list.retained_for;
  }
  auto known = this->by_id;
  known.merge(IndexById(std::move(list.retained)));
  return this->ApplyList(IndexById(std::move(list.endpoints)), known,
                         list.revision, now);
}

bool EndpointTable::ApplyList(ById next, const ById& known,
                              const store::Revision& revision, TimePoint now) {
  // The first list of an epoch is news also if it is the same: what others took
  // after it may be lost.
  const bool new_list = next != this->listed ||
                        revision.epoch != this->changed_revision.epoch ||
                        !this->changed_revision.IsSet();
  if (new_list) this->changed_revision = revision;
  this->last_revision = revision;
  const ById before = std::exchange(this->listed, std::move(next));
  const bool in_use_changed = this->UpdateInUse(known, now);
  if (new_list) {
    this->departures.Learn(before, this->listed, this->retained, revision.epoch,
                           now);
  }
  return new_list || in_use_changed;
}

bool EndpointTable::UpdateInUse(const ById& known, TimePoint now) {
  ById next = this->listed;
  this->corrected = this->departures.Correct(next, this->by_id,
                                             this->last_revision.epoch, now);
  this->retained.clear();
  if (this->RetainsMissing()) {
    for (const auto& [id, endpoint] : known) {
      if (this->departures.IsGone(endpoint)) continue;
      if (next.emplace(id, endpoint).second) this->retained.insert(id);
    }
  }
  const bool changed = next != this->by_id;
  this->SetInUse(std::move(next));
  return changed;
}

EndpointListSnapshot EndpointTable::Share(TimePoint now) const {
  EndpointListSnapshot list;
  for (const auto& [id, endpoint] : this->by_id) {
    auto& into = this->retained.contains(id) ? list.retained : list.endpoints;
    into.push_back(endpoint);
  }
  list.retained_for = this->IsOutageInProgress()
                          ? this->outage_grace
                          : std::max(Duration(0), this->retain_until - now);
  list.revision = this->changed_revision;
  return list;
}

const Endpoint* EndpointTable::Find(const std::string& id) const {
  const auto found = this->by_id.find(id);
  return found == this->by_id.end() ? nullptr : &found->second;
}

void EndpointTable::ForEachReady(
    const std::string& service,
    const std::function<void(const Endpoint&)>& visit) const {
  for (const auto& [id, endpoint] : this->by_id) {
    if (endpoint.service != service) continue;
    if (endpoint.state != EndpointState::kReady) continue;
    visit(endpoint);
  }
}

}  // namespace toucanwharf::endpoints
