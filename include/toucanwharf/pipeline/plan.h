#ifndef TOUCANWHARF_PIPELINE_PLAN_H_
#define TOUCANWHARF_PIPELINE_PLAN_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "toucanwharf/support/clock.h"

/// Values of the pipeline library: which endpoints hold which layers, what
/// the links between them cost, and the plan that one answer follows.
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

/// The weights that an answer is pinned to from its first token to its last.
struct PinnedModel {
  std::string model;
  std::string version;
  /// Empty for none.
  std::string adapter;

  friend auto operator<=>(const PinnedModel&, const PinnedModel&) = default;
};

/// Whether an endpoint may get new work.
enum class EndpointState { kLive, kLeaving, kEjected };

/// One model engine as the router sees it, from its status and load reports.
struct EndpointView {
  std::string id;
  /// IP number and port.
  std::string address;
  std::string failure_domain;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  LayerRange layers;
  /// Time that one layer takes for one token.
  Duration layer_time{0};
  EndpointState state = EndpointState::kLive;
  /// Time that new work waits before it runs, as last reported.
  Duration expected_wait{0};

  friend bool operator==(const EndpointView&, const EndpointView&) = default;
};

/// One-way delays between failure domains, and what is known to be added on
/// the way to single endpoints.
struct LinkCosts {
  /// By unordered pair of failure domains, the smaller name first.
  std::map<std::pair<std::string, std::string>, Duration> between;
  /// For pairs that `between` does not name.
  Duration same_domain{std::chrono::microseconds(50)};
  Duration other_domain{std::chrono::microseconds(500)};
  /// Extra one-way delay by endpoint id, such as a link that degraded.
  std::map<std::string, Duration> endpoint_penalty;

  /// Returns the one-way delay between \p left and \p right without any
  /// endpoint's penalty. Thread safety: safe while nothing writes.
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

/// What the answer should take on a plan if nothing fails.
struct PlanTimes {
  /// Sum of the stages' expected waits; once for the answer.
  Duration wait{0};
  /// Compute and links for one token after the first.
  Duration token_gap{0};
  /// Compute for each token of the prompt, which run side by side.
  Duration prompt_token{0};

  /// Returns the expected time to the first token after a prompt (with the
  /// tokens so far) of \p prompt_tokens. Thread safety: safe.
  Duration FirstToken(std::uint32_t prompt_tokens) const {
    return this->wait + this->token_gap + this->prompt_token * prompt_tokens;
  }

  friend bool operator==(const PlanTimes&, const PlanTimes&) = default;
};

/// An exact cover of all layers of one pinned model by stages, in order.
struct Plan {
  PinnedModel model;
  std::vector<Stage> stages;
  PlanTimes times;

  friend bool operator==(const Plan&, const Plan&) = default;
};

/// Returns whether \p ranges name each layer of [0, \p layers) exactly once
/// and in order. Thread safety: safe.
bool IsExactCover(const std::vector<LayerRange>& ranges, std::uint32_t layers);

/// Returns whether \p trace, the layers that ran for one token, is just what
/// \p plan asked for. Thread safety: safe.
bool MatchesPlan(const std::vector<LayerRange>& trace, const Plan& plan);

}  // namespace toucanwharf::pipeline

#endif  // TOUCANWHARF_PIPELINE_PLAN_H_
