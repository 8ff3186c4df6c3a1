#include "toucanwharf/endpoints/load_tracker.h"

#include <algorithm>

namespace toucanwharf::endpoints {
namespace {

/// Pause after a refusal by a full engine: in this time enough of its answers
/// end that it has free capacity again.
constexpr Duration kFullPause = std::chrono::milliseconds(400);
/// Pause after any other refusal: the suspicion reaches all instances of a
/// large fleet by way of the leader in 0.75 s, and must still hold then.
constexpr Duration kRefusalPause = std::chrono::milliseconds(1000);
/// Pauses grow to 4 s: the time until a crashed engine is replaced.
constexpr int kMaxPauseDoublings = 2;
/// How long an endpoint's response takes precedence over reports of other
/// instances; reports of what they found before it have arrived by then.
constexpr Duration kLocalResponseValid = std::chrono::milliseconds(300);
/// Time without a refusal after a pause that resets the number of consecutive
/// refusals.
constexpr Duration kRefusalCountReset = std::chrono::milliseconds(1500);

void Add(gossip::EndpointLoad& sum, const gossip::EndpointLoad& load,
         double sign) {
  sum.answers += sign * load.answers;
  sum.token_layers += sign * load.token_layers;
  sum.first_stage_answers += sign * load.first_stage_answers;
}

bool IsBeforeDeadline(const std::map<std::string, TimePoint>& until,
                      const std::string& endpoint, TimePoint now) {
  const auto found = until.find(endpoint);
  return found != until.end() && now < found->second;
}

void Extend(std::map<std::string, TimePoint>& until,
            const std::string& endpoint, TimePoint to) {
  TimePoint& known = until[endpoint];
  known = std::max(known, to);
}

}  // namespace

void LoadTracker::AddInFlight(const gossip::EndpointLoad& load) {
  gossip::EndpointLoad& sum = this->local[load.endpoint];
  sum.endpoint = load.endpoint;
  Add(sum, load, 1);
}

void LoadTracker::RemoveInFlight(const gossip::EndpointLoad& load) {
  const auto found = this->local.find(load.endpoint);
  if (found == this->local.end()) return;
  Add(found->second, load, -1);
  // Less than half an answer is the rounding error of the sums.
  constexpr double kRoundingMargin = 0.5;
  if (found->second.answers < kRoundingMargin) this->local.erase(found);
}

std::vector<gossip::EndpointLoad> LoadTracker::Local() const {
  std::vector<gossip::EndpointLoad> loads;
  for (const auto& [endpoint, load] : this->local) loads.push_back(load);
  return loads;
}

double LoadTracker::LocalAnswers() const {
  double answers = 0;
  for (const auto& [endpoint, load] : this->local) {
    answers += load.first_stage_answers;
  }
  return answers;
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
    const auto local_load = this->local.find(endpoint);
    if (local_load == this->local.end()) continue;
    Add(sum, local_load->second, -1);
    // The local part may have grown since the sum was made.
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
  for (const auto& [endpoint, load] : this->local) {
    if (!this->peers.contains(endpoint)) all.push_back(load);
  }
  return all;
}

gossip::EndpointLoad LoadTracker::Total(const std::string& endpoint) const {
  gossip::EndpointLoad sum{endpoint, 0, 0, 0};
  const auto local_load = this->local.find(endpoint);
  if (local_load != this->local.end()) Add(sum, local_load->second, 1);
  gossip::EndpointLoad others{endpoint, 0, 0, 0};
  const auto known = this->peers.find(endpoint);
  if (known != this->peers.end()) others = known->second;
  if (local_load != this->local.end()) {
    const auto assumed = static_cast<double>(this->assumed_peers);
    const gossip::EndpointLoad& local_part = local_load->second;
    others.answers = std::max(others.answers, assumed * local_part.answers);
    others.token_layers =
        std::max(others.token_layers, assumed * local_part.token_layers);
    others.first_stage_answers = std::max(
        others.first_stage_answers, assumed * local_part.first_stage_answers);
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
  // Requests that were in flight together are refused together.
  if (now < known.paused_until) return;
  if (now - known.paused_until > kRefusalCountReset) known.consecutive = 0;
  known.paused_until = now + kRefusalPause * (1 << known.consecutive);
  known.consecutive = std::min(known.consecutive + 1, kMaxPauseDoublings);
  this->Suspect(endpoint, known.paused_until);
}

void LoadTracker::Suspect(const std::string& endpoint, TimePoint until) {
  Extend(this->suspected, endpoint, until);
}

bool LoadTracker::MarkUnresponsive(const std::string& endpoint, TimePoint until,
                                   TimePoint now) {
  const bool newly_unresponsive = !this->IsUnresponsive(endpoint, now);
  Extend(this->unresponsive_until, endpoint, until);
  Extend(this->found_unresponsive_until, endpoint, until);
  return newly_unresponsive;
}

bool LoadTracker::MarkReportedUnresponsive(const std::string& endpoint,
                                           TimePoint until, TimePoint now) {
  const auto answered = this->answered_at.find(endpoint);
  const bool contradicted = answered != this->answered_at.end() &&
                            now - answered->second < kLocalResponseValid;
  if (contradicted) return false;
  const bool newly_unresponsive = !this->IsUnresponsive(endpoint, now);
  Extend(this->unresponsive_until, endpoint, until);
  return newly_unresponsive;
}

void LoadTracker::ForgetUnresponsive() {
  this->unresponsive_until.clear();
  this->found_unresponsive_until.clear();
}

void LoadTracker::ForgetUnresponsive(const std::string& endpoint) {
  this->unresponsive_until.erase(endpoint);
  this->found_unresponsive_until.erase(endpoint);
}

bool LoadTracker::HasRespondedSince(const std::string& endpoint,
                                    TimePoint since) const {
  const auto found = this->answered_at.find(endpoint);
  return found != this->answered_at.end() && found->second >= since;
}

bool LoadTracker::IsUnresponsive(const std::string& endpoint,
                                 TimePoint now) const {
  return IsBeforeDeadline(this->unresponsive_until, endpoint, now);
}

void LoadTracker::OnResponse(const std::string& endpoint, TimePoint now) {
  this->answered_at[endpoint] = now;
  this->unresponsive_until.erase(endpoint);
  this->found_unresponsive_until.erase(endpoint);
}

bool LoadTracker::IsSuspected(const std::string& endpoint,
                              TimePoint now) const {
  return IsBeforeDeadline(this->full_until, endpoint, now) ||
         IsBeforeDeadline(this->suspected, endpoint, now) ||
         this->IsUnresponsive(endpoint, now);
}

std::vector<gossip::Suspicion> LoadTracker::Suspicions(
    TimePoint now, bool include_reported) const {
  std::vector<gossip::Suspicion> suspicions;
  for (const auto& [endpoint, until] : this->suspected) {
    if (now < until) suspicions.push_back({endpoint, until - now, false});
  }
  const auto& unresponsive = include_reported ? this->unresponsive_until
                                              : this->found_unresponsive_until;
  for (const auto& [endpoint, until] : unresponsive) {
    if (now < until) suspicions.push_back({endpoint, until - now, true});
  }
  return suspicions;
}

void LoadTracker::SetEngineStatus(const gossip::EngineStatus& status,
                                  TimePoint until) {
  this->statuses[status.endpoint] = TimedStatus{status, until};
}

const gossip::EngineStatus* LoadTracker::FindEngineStatus(
    const Endpoint& endpoint, TimePoint now) const {
  const auto found = this->statuses.find(endpoint.id);
  if (found == this->statuses.end()) return nullptr;
  const TimedStatus& known = found->second;
  const bool valid =
      now < known.until && known.status.start_time_ms == endpoint.start_time_ms;
  return valid ? &known.status : nullptr;
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
  if (const gossip::EngineStatus* status =
          this->FindEngineStatus(endpoint, now)) {
    engine.layers = status->layers;
    engine.slowdown = status->slowdown;
    engine.token_layers =
        this->reports_add ? engine.token_layers + status->token_layers
                          : std::max(engine.token_layers, status->token_layers);
  }
  return engine;
}

}  // namespace toucanwharf::endpoints
