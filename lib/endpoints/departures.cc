#include "toucanwharf/endpoints/departures.h"

#include <algorithm>

#include "toucanwharf/store/epoch_clock.h"

namespace toucanwharf::endpoints {
namespace {

bool IsListed(const EndpointsById& listed, const std::string& id,
              std::uint64_t start_time_ms) {
  const auto found = listed.find(id);
  return found != listed.end() && found->second.start_time_ms == start_time_ms;
}

}  // namespace

void Departures::Learn(const EndpointsById& before, const EndpointsById& next,
                       const std::set<std::string>& retained,
                       std::uint64_t epoch, TimePoint now) {
  for (const auto& [id, endpoint] : next) {
    const Start start{id, endpoint.start_time_ms};
    if (endpoint.state == EndpointState::kDraining) {
      this->departures[start] = {false, epoch, now};
      continue;
    }
    const auto known = this->departures.find(start);
    if (known == this->departures.end()) continue;
    // It has registered again.
    const bool is_back = known->second.epoch == epoch || !this->Holds(now);
    if (is_back) this->departures.erase(known);
  }
  for (const auto& [id, endpoint] : before) {
    const bool still_there =
        retained.contains(id) || IsListed(next, id, endpoint.start_time_ms);
    if (still_there) continue;
    this->departures[{id, endpoint.start_time_ms}] = {true, epoch, now};
  }
  this->Forget(next, now);
}

void Departures::Forget(const EndpointsById& listed, TimePoint now) {
  std::erase_if(this->departures, [&](const auto& entry) {
    const auto& [start, departure] = entry;
    return now - departure.learned_at > store::kMaxCopyAge &&
           !IsListed(listed, start.id, start.time_ms);
  });
}

std::size_t Departures::Correct(EndpointsById& listed,
                                const EndpointsById& in_use,
                                std::uint64_t epoch, TimePoint now) const {
  if (!this->Holds(now)) return 0;
  std::size_t corrected = 0;
  for (const auto& [start, departure] : this->departures) {
    if (departure.epoch >= epoch) continue;
    const auto found = listed.find(start.id);
    if (found == listed.end()) continue;
    Endpoint& endpoint = found->second;
    if (endpoint.start_time_ms != start.time_ms) continue;
    if (departure.gone) {
      listed.erase(found);
      ++corrected;
    } else if (endpoint.state == EndpointState::kReady) {
      endpoint.state = EndpointState::kDraining;
      ++corrected;
    }
  }
  for (auto& [id, endpoint] : listed) {
    const auto known = in_use.find(id);
    const bool newer = known != in_use.end() &&
                       known->second.start_time_ms == endpoint.start_time_ms &&
                       known->second.sequence > endpoint.sequence;
    if (!newer) continue;
    endpoint.layers = known->second.layers;
    endpoint.sequence = known->second.sequence;
    ++corrected;
  }
  return corrected;
}

bool Departures::IsGone(const Endpoint& endpoint) const {
  const auto known =
      this->departures.find({endpoint.id, endpoint.start_time_ms});
  return known != this->departures.end() && known->second.gone;
}

}  // namespace toucanwharf::endpoints
