#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "proxied_request.h"
#include "toucanwharf/placement/unseen_load.h"

namespace toucanwharf::instance {

std::optional<ProxiedRequest::Target> ProxiedRequest::ChooseTarget() {
  this->limit_wait.reset();
  this->found_unlimited = false;
  this->candidates = Candidates{};
  if (this->MustForward()) return this->ChoosePeer();
  auto chosen = this->IsModel() ? this->ChoosePath({}) : this->ChoosePlain();
  const bool has_local = chosen || this->candidates.behind_cut == 0;
  return has_local ? chosen : this->ChoosePeer();
}

std::optional<ProxiedRequest::Target> ProxiedRequest::ChoosePath(
    const std::vector<pipeline::Stage>& current) {
  InstanceState& state = this->gateway.state;
  const TimePoint now = this->gateway.loop.Now();
  std::vector<placement::Engine> engines;
  state.endpoints.ForEachReady(
      this->admitted.service->name, [&](const endpoints::Endpoint& endpoint) {
        // A full engine can keep the state that it holds of the answer.
        const bool on_path = RunsThrough(current, endpoint.id);
        if (!on_path && state.IsLeaving(endpoint)) return;
        const bool unusable = on_path
                                  ? state.loads.IsUnresponsive(endpoint.id, now)
                                  : state.IsAvoided(endpoint.id, now);
        ++this->candidates.ready;
        if (unusable) ++this->candidates.suspected;
        if (unusable) return;
        engines.push_back(state.loads.ToEngine(endpoint, now));
        // An answer costs only its first engine a request.
        if (engines.back().layers.begin == 0) {
          const bool behind_cut = state.IsBehindCut(endpoint.id, now);
          if (behind_cut) ++this->candidates.behind_cut;
          engines.back().may_begin =
              !behind_cut && this->LimitAllows(endpoint, now);
        }
      });
  placement::AddUnseenLoad(*this->admitted.service->engine,
                           state.unheard_peers * state.loads.LocalAnswers(),
                           engines);
  placement::PathQuery query;
  query.failure_domain = this->gateway.settings.failure_domain;
  query.prompt_tokens = this->claim.prompt_tokens;
  query.output_tokens = std::max(this->claim.output_tokens, 1.0);
  query.current = current;
  query.excluded = this->excluded;
  placement::PathSettings settings;
  const Mechanisms& mechanisms = this->gateway.settings.mechanisms;
  settings.price_congestion = mechanisms.price_congestion;
  if (state.peers.IsLargeFleet(now)) {
    if (mechanisms.entry_choices) {
      settings.entry_choices = placement::kEntryChoicesInLargeFleet;
    }
    settings.capacity_share = placement::kCapacityShareInLargeFleet;
  }
  // Answers that lost an engine are resumed at the same moment by all
  // instances.
  if (this->attempt_counts.answer_started && mechanisms.spread_resumed) {
    settings.entry_choices = placement::kEntryChoicesForResumed;
  }
  const placement::PathChoice choice =
      placement::FindPath(*this->admitted.service->engine, engines, query,
                          settings, this->gateway.random);
  this->no_path_reason = choice.no_path_reason;
  if (!choice.path) return std::nullopt;
  const pipeline::Stage& first = choice.path->stages.front();
  Target chosen;
  chosen.endpoint = first.endpoint;
  chosen.address = first.address;
  chosen.stages = choice.path->stages;
  chosen.token_millis = choice.path->token_millis;
  return chosen;
}

std::optional<ProxiedRequest::Target> ProxiedRequest::ChoosePlain() {
  InstanceState& state = this->gateway.state;
  const TimePoint now = this->gateway.loop.Now();
  std::optional<Target> best;
  double lowest_cost = 0;
  state.endpoints.ForEachReady(
      this->admitted.service->name, [&](const endpoints::Endpoint& endpoint) {
        if (state.IsLeaving(endpoint)) return;
        if (state.IsBehindCut(endpoint.id, now)) {
          ++this->candidates.behind_cut;
          return;
        }
        if (this->excluded.contains(endpoint.id)) return;
        if (!this->LimitAllows(endpoint, now)) return;
        const gossip::EndpointLoad load = state.loads.Total(endpoint.id);
        // Suspected endpoints are used only if there is no other.
        constexpr double kSuspectedCost = 1000;
        const bool suspected = state.IsAvoided(endpoint.id, now);
        ++this->candidates.ready;
        if (suspected) ++this->candidates.suspected;
        const double cost =
            (load.answers + this->gateway.random.Unit()) / endpoint.slots +
            (suspected ? kSuspectedCost : 0);
        if (best && cost >= lowest_cost) return;
        lowest_cost = cost;
        best.emplace();
        best->endpoint = endpoint.id;
        best->address = endpoint.address;
      });
  return best;
}

bool ProxiedRequest::LimitAllows(const endpoints::Endpoint& endpoint,
                                 TimePoint now) {
  const InstanceState& state = this->gateway.state;
  Duration wait = state.RequestedPause(endpoint, now);
  if (!state.pacer.Empty()) {
    const std::uint32_t key = endpoints::EndpointKey(endpoint);
    if (!state.pacer.MaySend(key, now)) {
      wait = std::max(wait, state.pacer.Wait(key, now));
    }
  }
  if (wait == Duration(0)) {
    this->found_unlimited = true;
    return true;
  }
  this->limit_wait = std::min(this->limit_wait.value_or(wait), wait);
  return false;
}

void ProxiedRequest::CountAgainstLimit() {
  InstanceState& state = this->gateway.state;
  state.pauses.OnSend(this->target.key, this->gateway.loop.Now());
  if (state.pacer.Empty()) return;
  const endpoints::Endpoint* endpoint =
      state.endpoints.Find(this->target.endpoint);
  if (endpoint == nullptr) return;
  state.pacer.OnSend(endpoints::EndpointKey(*endpoint),
                     this->gateway.loop.Now());
}

bool ProxiedRequest::TellsRank() const {
  const bool stated = this->admitted.route->priority.has_value() ||
                      this->admitted.customer_rank.has_value();
  return stated && this->IsModel() &&
         this->gateway.settings.mechanisms.engine_ranks;
}

http::Request ProxiedRequest::BuildRequest(const Target& to) const {
  if (to.is_peer) return this->BuildForwarded();
  const HeaderNames& names = this->gateway.names;
  const http::Request& received = this->exchange->Received();
  http::Request request;
  request.method = received.method;
  request.target = received.target;
  request.body = received.body;
  request.headers = http::EndToEnd(received.headers);
  if (!this->admitted.table->All().customers.empty()) {
    request.headers.Remove(names.authorization);
  }
  request.headers.Remove(names.customer);
  if (!this->admitted.customer.empty()) {
    request.headers.Set(names.customer, this->admitted.customer);
  }
  request.headers.Remove(names.rank);
  if (this->TellsRank()) {
    request.headers.Set(names.rank, absl::StrCat(this->claim.rank));
  }
  request.headers.Set(names.deadline, this->RemainingMillis());
  if (this->admitted.forwarded) RemoveForwarding(request.headers);
  request.headers.Set(names.expected_endpoint, to.endpoint);
  request.headers.Remove(names.path);
  if (!to.stages.empty()) {
    request.headers.Set(names.path, this->gateway.calls.path_text(to.stages));
  }
  if (this->events.LastId()) {
    request.headers.Set(names.last_event_id, *this->events.LastId());
  }
  return request;
}

std::string ProxiedRequest::RemainingMillis() const {
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->admitted.deadline - this->gateway.loop.Now());
  return absl::StrCat(std::max<std::int64_t>(remaining.count(), 1));
}

void ProxiedRequest::CountLoad() {
  // A peer counts what it sends to endpoints.
  if (this->target.is_peer) return;
  const double tokens = this->claim.prompt_tokens + this->claim.output_tokens;
  const Target& to = this->target;
  if (to.stages.empty()) {
    this->counted_loads.push_back({to.endpoint, 1, 0, 1});
  }
  for (const pipeline::Stage& stage : to.stages) {
    const bool first = stage.endpoint == to.endpoint;
    this->counted_loads.push_back(
        {stage.endpoint, 1, tokens * stage.layers.Count(), first ? 1.0 : 0.0});
  }
  for (const auto& load : this->counted_loads) {
    this->gateway.state.loads.AddInFlight(load);
  }
}

}  // namespace toucanwharf::instance
