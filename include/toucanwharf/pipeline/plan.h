#ifndef TOUCANWHARF_PIPELINE_PLAN_H_
#define TOUCANWHARF_PIPELINE_PLAN_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "toucanwharf/support/clock.h"

/// Value types of the pipeline library: the layers that each endpoint holds,
/// the costs of the links between them, and the plan of one answer.
namespace toucanwharf::pipeline {

/// Layers [begin, end) of a model.
struct LayerRange {
  std::uint32_t begin = 0;
  std::uint32_t end = 0;

  /// Returns how many layers the range holds. Precondition: begin <= end.
  /// Thread safety: safe.
  std::uint32_t Count() const { return this->end - this->begin; }

  friend auto operator<=>(const LayerRange&, const LayerRange&) = default;
};

/// Returns the layers in both \p left and \p right. Thread safety: safe.
inline LayerRange Intersection(const LayerRange& left,
                               const LayerRange& right) {
  const std::uint32_t begin = std::max(left.begin, right.begin);
  return {begin, std::max(begin, std::min(left.end, right.end))};
}

/// The weights that all tokens of one answer must come from.
struct PinnedModel {
  std::string model;
  std::string version;
  /// Empty for none.
  std::string adapter;

  friend auto operator<=>(const PinnedModel&, const PinnedModel&) = default;
};

/// Whether an endpoint may receive new work; only kLive may.
enum class EndpointState { kLive, kLeaving, kEjected };

/// State of one model engine, from its status and load reports.
struct EndpointView {
  std::string id;
  /// IP address and port.
  std::string address;
  std::string failure_domain;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  LayerRange layers;
  /// Time that one layer takes for one token.
  Duration layer_time{0};
  EndpointState state = EndpointState::kLive;
  /// Queueing delay of new work, as last reported.
  Duration expected_wait{0};

  friend bool operator==(const EndpointView&, const EndpointView&) = default;
};

/// One-way delays between failure domains, and known extra delays to single
/// endpoints.
struct LinkCosts {
  /// By unordered pair of failure domains, the smaller name first.
  std::map<std::pair<std::string, std::string>, Duration> between;
  /// Defaults for pairs that `between` doesn't contain.
  Duration same_domain{std::chrono::microseconds(50)};
  Duration other_domain{std::chrono::microseconds(500)};
  /// Extra one-way delay by endpoint id, such as that of a degraded link.
  std::map<std::string, Duration> endpoint_penalty;

  /// Returns the one-way delay between failure domains \p left and \p right,
  /// without endpoint penalties. Thread safety: safe while nothing writes.
  Duration Between(const std::string& left, const std::string& right) const;

  friend bool operator==(const LinkCosts&, const LinkCosts&) = default;
};

/// The part of a plan that one endpoint runs.
struct Stage {
  std::string endpoint;
  std::string address;
  LayerRange layers;

  friend bool operator==(const Stage&, const Stage&) = default;
};

/// Expected times of an answer on a plan if nothing fails.
struct PlanTimes {
  /// Sum of the stages' expected waits; incurred once per answer.
  Duration wait{0};
  /// Compute and links for one token after the first.
  Duration token_gap{0};
  /// Compute per prompt token; prompt tokens are processed in parallel.
  Duration prompt_token{0};

  /// Returns the expected time to the first token for a prompt (including the
  /// tokens so far) of \p prompt_tokens. Thread safety: safe.
  Duration FirstToken(std::uint32_t prompt_tokens) const {
    return this->wait + this->token_gap + this->prompt_token * prompt_tokens;
  }

  friend bool operator==(const PlanTimes&, const PlanTimes&) = default;
};

/// An exact cover of all layers of one pinned model by ordered stages.
struct Plan {
  PinnedModel model;
  std::vector<Stage> stages;
  PlanTimes times;

  friend bool operator==(const Plan&, const Plan&) = default;
};

/// Returns whether \p ranges contain each layer of [0, \p layers) exactly once
/// and in order. Thread safety: safe.
bool IsExactCover(const std::vector<LayerRange>& ranges, std::uint32_t layers);

/// Returns whether \p trace, the layers that ran for one token, is exactly the
/// sequence of layers in \p plan. Thread safety: safe.
bool MatchesPlan(const std::vector<LayerRange>& trace, const Plan& plan);

}  // namespace toucanwharf::pipeline

#endif  // TOUCANWHARF_PIPELINE_PLAN_H_
