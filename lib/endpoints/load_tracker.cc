#include "toucanwharf/endpoints/load_tracker.h"

#include <algorithm>

namespace toucanwharf::endpoints {
namespace {

/// A full engine: so many of its answers end in this time that it has room for
/// some again.
constexpr Duration kFullPause = std::chrono::milliseconds(400);
/// An engine that refuses for another reason: the word of it reaches all
/// instances of a large fleet by way of the leader in 0.75 s, and must still
/// hold then.
constexpr Duration kRefusalPause = std::chrono::milliseconds(1000);
/// Up to 4 s: as long as engines that fall over take to be replaced.
constexpr int kMostPauseDoublings = 2;
/// An answer of an endpoint outweighs others' word for so long; what they found
/// before it is told by then.
constexpr Duration kOwnWordHolds = std::chrono::milliseconds(300);
/// Without a refusal for so long after a pause the next one is a first again.
constexpr Duration kRefusalsForgotten = std::chrono::milliseconds(1500);

void Add(gossip::EndpointLoad& sum, const gossip::EndpointLoad& load,
         double sign) {
  sum.answers += sign * load.answers;
  sum.token_layers += sign * load.token_layers;
  sum.first_stage_answers += sign * load.first_stage_answers;
}

bool Holds(const std::map<std::string, TimePoint>& until,
           const std::string& endpoint, TimePoint now) {
  const auto found = until.find(endpoint);
  return found != until.end() && now < found->second;
}

void Prolong(std::map<std::string, TimePoint>& until,
             const std::string& endpoint, TimePoint to) {
  TimePoint& known = until[endpoint];
  known = std::max(known, to);
}

}  // namespace

void LoadTracker::AddInFlight(const gossip::EndpointLoad& load) {
  gossip::EndpointLoad& sum = this->own[load.endpoint];
  sum.endpoint = load.endpoint;
  Add(sum, load, 1);
}

void LoadTracker::RemoveInFlight(const gossip::EndpointLoad& load) {
  const auto found = this->own.find(load.endpoint);
  if (found == this->own.end()) return;
  Add(found->second, load, -1);
  // Half an answer is none: what is left is the rounding of the sums.
  constexpr double kNone = 0.5;
  if (found->second.answers < kNone) this->own.erase(found);
}

std::vector<gossip::EndpointLoad> LoadTracker::Local() const {
  std::vector<gossip::EndpointLoad> loads;
  for (const auto& [endpoint, load] : this->own) loads.push_back(load);
  return loads;
}

void LoadTracker::SetPeerLoads(const std::vector<gossip::EndpointLoad>& loads) {
  this->peers.clear();
  for (const gossip::EndpointLoad& load : loads) {
    gossip::EndpointLoad& sum = this->peers[load.endpoint];
    sum.endpoint = load.endpoint;
    Add(sum, load, 1);
  }
}

void LoadTracker::SetFleetLoads(
    const std::vector<gossip::EndpointLoad>& loads) {
  this->SetPeerLoads(loads);
  for (auto& [endpoint, sum] : this->peers) {
    const auto mine = this->own.find(endpoint);
    if (mine == this->own.end()) continue;
    Add(sum, mine->second, -1);
    // The own part may have grown since the sum was made.
    sum.answers = std::max(sum.answers, 0.0);
    sum.token_layers = std::max(sum.token_layers, 0.0);
    sum.first_stage_answers = std::max(sum.first_stage_answers, 0.0);
  }
}

std::vector<gossip::EndpointLoad> LoadTracker::All() const {
  std::vector<gossip::EndpointLoad> all;
  for (const auto& [endpoint, load] : this->peers) {
    all.push_back(this->Total(endpoint));
  }
  for (const auto& [endpoint, load] : this->own) {
    if (!this->peers.contains(endpoint)) all.push_back(load);
  }
  return all;
}

gossip::EndpointLoad LoadTracker::Total(const std::string& endpoint) const {
  gossip::EndpointLoad sum{endpoint, 0, 0, 0};
  const auto mine = this->own.find(endpoint);
  if (mine != this->own.end()) Add(sum, mine->second, 1);
  gossip::EndpointLoad others{endpoint, 0, 0, 0};
  const auto known = this->peers.find(endpoint);
  if (known != this->peers.end()) others = known->second;
  if (mine != this->own.end()) {
    const auto alike = static_cast<double>(this->unheard);
    const gossip::EndpointLoad& own_part = mine->second;
    others.answers = std::max(others.answers, alike * own_part.answers);
    others.token_layers =
        std::max(others.token_layers, alike * own_part.token_layers);
    others.first_stage_answers = std::max(others.first_stage_answers,
                                          alike * own_part.first_stage_answers);
  }
  Add(sum, others, 1);
  return sum;
}

void LoadTracker::OnRefusal(const std::string& endpoint, bool full,
                            TimePoint now) {
  if (full) {
    this->full_until[endpoint] = now + kFullPause;
    return;
  }
  Refusals& known = this->refusals[endpoint];
  // Requests that were under way together are refused together.
  if (now < known.paused_until) return;
  if (now - known.paused_until > kRefusalsForgotten) known.in_row = 0;
  known.paused_until = now + kRefusalPause * (1 << known.in_row);
  known.in_row = std::min(known.in_row + 1, kMostPauseDoublings);
  this->Suspect(endpoint, known.paused_until);
}

void LoadTracker::Suspect(const std::string& endpoint, TimePoint until) {
  Prolong(this->suspected, endpoint, until);
}

bool LoadTracker::MarkUnresponsive(const std::string& endpoint, TimePoint until,
                                   TimePoint now) {
  const bool news = !this->IsUnresponsive(endpoint, now);
  Prolong(this->silent_until, endpoint, until);
  Prolong(this->found_silent_until, endpoint, until);
  return news;
}

bool LoadTracker::MarkReportedUnresponsive(const std::string& endpoint,
                                           TimePoint until, TimePoint now) {
  const auto answered = this->answered_at.find(endpoint);
  const bool contradicted = answered != this->answered_at.end() &&
                            now - answered->second < kOwnWordHolds;
  if (contradicted) return false;
  const bool news = !this->IsUnresponsive(endpoint, now);
  Prolong(this->silent_until, endpoint, until);
  return news;
}

bool LoadTracker::IsUnresponsive(const std::string& endpoint,
                                 TimePoint now) const {
  return Holds(this->silent_until, endpoint, now);
}

void LoadTracker::OnResponse(const std::string& endpoint, TimePoint now) {
  this->answered_at[endpoint] = now;
  this->silent_until.erase(endpoint);
  this->found_silent_until.erase(endpoint);
}

bool LoadTracker::IsSuspected(const std::string& endpoint,
                              TimePoint now) const {
  return Holds(this->full_until, endpoint, now) ||
         Holds(this->suspected, endpoint, now) ||
         this->IsUnresponsive(endpoint, now);
}

std::vector<gossip::Suspicion> LoadTracker::Suspicions(TimePoint now,
                                                       bool heard_too) const {
  std::vector<gossip::Suspicion> holding;
  for (const auto& [endpoint, until] : this->suspected) {
    if (now < until) holding.push_back({endpoint, until - now, false});
  }
  const auto& silent =
      heard_too ? this->silent_until : this->found_silent_until;
  for (const auto& [endpoint, until] : silent) {
    if (now < until) holding.push_back({endpoint, until - now, true});
  }
  return holding;
}

void LoadTracker::SetEngineStatus(const gossip::EngineStatus& fact,
                                  TimePoint until) {
  this->facts[fact.endpoint] = TimedFact{fact, until};
}

const gossip::EngineStatus* LoadTracker::FindEngineStatus(
    const Endpoint& endpoint, TimePoint now) const {
  const auto found = this->facts.find(endpoint.id);
  if (found == this->facts.end()) return nullptr;
  const TimedFact& known = found->second;
  const bool counts =
      now < known.until && known.fact.start_time_ms == endpoint.start_time_ms;
  return counts ? &known.fact : nullptr;
}

placement::Engine LoadTracker::ToEngine(const Endpoint& endpoint,
                                        TimePoint now) const {
  placement::Engine engine;
  engine.id = endpoint.id;
  engine.address = endpoint.address;
  engine.failure_domain = endpoint.failure_domain;
  engine.kind = endpoint.kind;
  engine.layers = endpoint.layers;
  const gossip::EndpointLoad load = this->Total(endpoint.id);
  engine.answers = load.answers;
  engine.token_layers = load.token_layers;
  engine.first_stage_answers = load.first_stage_answers;
  if (const gossip::EngineStatus* fact =
          this->FindEngineStatus(endpoint, now)) {
    engine.layers = fact->layers;
    engine.slowdown = fact->slowdown;
    engine.token_layers = std::max(engine.token_layers, fact->token_layers);
  }
  return engine;
}

}  // namespace toucanwharf::endpoints
