#include "toucanwharf/placement/path_finder.h"

#include <algorithm>
#include <cassert>
#include <limits>
#include <map>
#include <utility>

namespace toucanwharf::placement {
namespace {

using pipeline::LayerRange;

constexpr double kPerThousand = 1000.0;
constexpr double kUnreachable = std::numeric_limits<double>::infinity();
/// Time of a hop inside a failure domain: about a tenth of a millisecond.
constexpr double kLocalHopMillis = 0.1;
/// Maximum utilization in the congestion cost, so that the cost stays finite.
constexpr double kMaxUtilization = 0.95;

/// Cost of one layer on an engine for the requested answer.
struct LayerCost {
  double token_millis = 0;
  double prompt_millis = 0;
  /// Free and total capacity in tokens times layers.
  double free = 0;
  double total = 1;
  double jitter = 1;
  /// Layers that the answer already runs there.
  LayerRange held;
};

/// The best partial path to a boundary in a failure domain.
struct Label {
  double cost = kUnreachable;
  double token_millis = 0;
  double first_millis = 0;
  /// Engine of the last part, and the boundary where that part begins.
  std::size_t engine = 0;
  std::uint32_t begin = 0;
  std::size_t from_domain = 0;
};

/// Constraints of a search.
struct Scope {
  /// Whether each engine needs free capacity for the answer.
  bool need_free = true;
  /// Whether a path may cross from one failure domain to another.
  bool may_cross = true;
  /// Engines that a path may begin at; any if empty.
  std::vector<std::size_t> entries;
};

class Search {
 public:
  Search(const EngineModel& engine_model, const std::vector<Engine>& fleet,
         const PathQuery& path_query, const PathSettings& path_settings,
         Random& source, Scope search_scope)
      : model(engine_model),
        engines(fleet),
        query(path_query),
        settings(path_settings),
        random(source),
        scope(std::move(search_scope)) {}

  std::optional<Path> Run() {
    this->Collect();
    for (const std::uint32_t boundary : this->boundaries) {
      this->Extend(boundary);
    }
    return this->Trace();
  }

 private:
  double Needed() const {
    return this->query.prompt_tokens + this->query.output_tokens;
  }

  void Collect() {
    this->domains.push_back(this->query.failure_domain);
    this->boundaries = {0, this->model.layers};
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
      const Engine& engine = this->engines[index];
      if (engine.layers.Count() == 0) continue;
      if (this->query.excluded.contains(engine.id)) continue;
      const AcceleratorKind* kind = this->model.FindKind(engine.kind);
      if (kind == nullptr) continue;
      if (this->scope.need_free && this->model.slots > 0 &&
          engine.layers.begin == 0 &&
          engine.first_stage_answers >= this->model.slots) {
        continue;
      }
      this->usable.push_back(index);
      this->costs.emplace(index, this->CostOf(engine, *kind));
      this->engine_domain.emplace(index,
                                  this->DomainIndex(engine.failure_domain));
      this->boundaries.push_back(engine.layers.begin);
      this->boundaries.push_back(engine.layers.end);
    }
    for (const pipeline::Stage& stage : this->query.current) {
      this->boundaries.push_back(stage.layers.begin);
      this->boundaries.push_back(stage.layers.end);
    }
    std::sort(this->boundaries.begin(), this->boundaries.end());
    const auto last =
        std::unique(this->boundaries.begin(), this->boundaries.end());
    this->boundaries.erase(last, this->boundaries.end());
    this->labels[{0, 0}] = Label{0, 0, 0, 0, 0, 0};
  }

  /// Returns whether \p index may run the layers from \p begin to \p end, where
  /// the query keeps the first stage.
  bool Allowed(std::size_t index, std::uint32_t begin,
               std::uint32_t end) const {
    if (this->query.current.empty()) return begin > 0 || this->MayBegin(index);
    const pipeline::Stage& first = this->query.current.front();
    const bool is_first = this->engines[index].id == first.endpoint;
    const LayerRange& kept = first.layers;
    if (begin == 0) return is_first && end == kept.end;
    return !is_first;
  }

  bool MayBegin(std::size_t index) const {
    if (this->scope.need_free && !this->engines[index].may_begin) return false;
    const auto& entries = this->scope.entries;
    if (entries.empty()) return true;
    return std::find(entries.begin(), entries.end(), index) != entries.end();
  }

  std::size_t DomainIndex(const std::string& domain) {
    const auto found =
        std::find(this->domains.begin(), this->domains.end(), domain);
    const auto index = static_cast<std::size_t>(found - this->domains.begin());
    if (found == this->domains.end()) this->domains.push_back(domain);
    return index;
  }

  /// Returns the layers that the answer already runs on \p engine.
  LayerRange HeldBy(const Engine& engine) const {
    for (const pipeline::Stage& stage : this->query.current) {
      if (stage.endpoint == engine.id) return stage.layers;
    }
    return {};
  }

  LayerCost CostOf(const Engine& engine, const AcceleratorKind& kind) {
    LayerCost cost;
    const double layers = this->model.layers;
    cost.held = this->HeldBy(engine);
    const double step =
        this->model.step_millis +
        this->model.step_millis_per_answer * (engine.answers + 1) +
        this->model.step_millis_per_kilotoken * engine.token_layers /
            (engine.layers.Count() * kPerThousand);
    cost.token_millis = step * kind.step_factor * engine.slowdown / layers;
    cost.prompt_millis = this->query.prompt_tokens /
                         this->model.prefill_tokens_per_milli *
                         kind.prefill_factor * engine.slowdown / layers;
    cost.total = std::max(
        1.0, TokenLayerCapacity(this->model, kind, engine.layers.Count()) *
                 this->settings.capacity_share);
    // The answer's own load there is free for it.
    cost.free =
        cost.total - engine.token_layers + this->Needed() * cost.held.Count();
    cost.jitter = 1 + this->settings.jitter * (2 * this->random.Unit() - 1);
    return cost;
  }

  /// Returns the cost factor of an engine for its utilization, 1 for an empty
  /// one. Without it the fastest engines are filled completely, where answers
  /// that turn out longer than expected compete for memory.
  static double CongestionFactor(const LayerCost& cost, double needed) {
    const double utilization =
        std::min(kMaxUtilization, 1 - (cost.free - needed) / cost.total);
    return 1 / ((1 - utilization) * (1 - utilization));
  }

  double HopMillis(std::size_t from, std::size_t to) const {
    if (from == to) return kLocalHopMillis;
    for (const DomainDelay& delay : this->model.delays) {
      const bool forward =
          delay.left == this->domains[from] && delay.right == this->domains[to];
      const bool backward =
          delay.left == this->domains[to] && delay.right == this->domains[from];
      if (forward || backward) return delay.millis + kLocalHopMillis;
    }
    return kLocalHopMillis;
  }

  void Extend(std::uint32_t boundary) {
    for (std::size_t domain = 0; domain < this->domains.size(); ++domain) {
      const auto found = this->labels.find({boundary, domain});
      if (found == this->labels.end()) continue;
      const Label from = found->second;
      for (const std::size_t index : this->usable) {
        const LayerRange& held = this->engines[index].layers;
        if (held.begin > boundary || held.end <= boundary) continue;
        // An endpoint runs one part, so it can't follow itself.
        if (boundary > 0 && from.engine == index) continue;
        this->ExtendBy(index, boundary, domain, from);
      }
    }
  }

  void ExtendBy(std::size_t index, std::uint32_t begin, std::size_t domain,
                const Label& from) {
    const LayerRange& held = this->engines[index].layers;
    const LayerCost& cost = this->costs.at(index);
    const std::size_t to_domain = this->engine_domain.at(index);
    double hop = HopMillis(domain, to_domain);
    // The link from the router carries events only, no activations.
    const bool crosses = domain != to_domain && begin > 0;
    if (crosses && !this->scope.may_cross) return;
    if (crosses) hop += this->settings.crossing_millis;
    const auto first = std::upper_bound(this->boundaries.begin(),
                                        this->boundaries.end(), begin);
    for (auto end = first; end != this->boundaries.end(); ++end) {
      if (*end > held.end) break;
      if (!this->Allowed(index, begin, *end)) continue;
      const double layers = *end - begin;
      if (this->scope.need_free && this->Needed() * layers > cost.free) break;
      Label label;
      label.token_millis = from.token_millis + hop + cost.token_millis * layers;
      const bool stays = cost.held == LayerRange{begin, *end};
      const double read_millis = stays ? 0 : cost.prompt_millis * layers;
      label.first_millis = from.first_millis + hop + read_millis;
      const double congestion =
          this->settings.price_congestion
              ? CongestionFactor(cost, this->Needed() * layers)
              : 1;
      label.cost = from.cost +
                   (hop + cost.token_millis * layers * congestion) *
                       cost.jitter * this->query.output_tokens +
                   read_millis;
      label.engine = index;
      label.begin = begin;
      label.from_domain = domain;
      Label& best = this->labels[{*end, to_domain}];
      if (label.cost < best.cost) best = label;
    }
  }

  std::optional<Path> Trace() const {
    const Label* last = nullptr;
    std::size_t domain = 0;
    for (std::size_t index = 0; index < this->domains.size(); ++index) {
      const auto found = this->labels.find({this->model.layers, index});
      if (found == this->labels.end()) continue;
      if (last != nullptr && last->cost <= found->second.cost) continue;
      last = &found->second;
      domain = index;
    }
    if (last == nullptr) return std::nullopt;
    Path path;
    path.token_millis = last->token_millis;
    path.first_token_millis = last->first_millis + last->token_millis;
    std::uint32_t end = this->model.layers;
    while (end > 0) {
      const Label& label = this->labels.at({end, domain});
      const Engine& engine = this->engines[label.engine];
      path.stages.push_back(
          {engine.id, engine.address, LayerRange{label.begin, end}});
      end = label.begin;
      domain = label.from_domain;
    }
    std::reverse(path.stages.begin(), path.stages.end());
    MergeRepeats(path.stages);
    return path;
  }

  /// Merges the stages of an engine that occurs twice: it holds everything
  /// between as well, so it can run all of that as one part, and no engine may
  /// be listed twice.
  static void MergeRepeats(std::vector<pipeline::Stage>& stages) {
    for (std::size_t first = 0; first < stages.size(); ++first) {
      for (std::size_t later = stages.size() - 1; later > first; --later) {
        if (stages[later].endpoint != stages[first].endpoint) continue;
        stages[first].layers.end = stages[later].layers.end;
        const auto begin = stages.begin() + static_cast<std::ptrdiff_t>(first);
        const auto end = stages.begin() + static_cast<std::ptrdiff_t>(later);
        stages.erase(begin + 1, end + 1);
        break;
      }
    }
  }

  const EngineModel& model;
  const std::vector<Engine>& engines;
  const PathQuery& query;
  const PathSettings& settings;
  Random& random;
  Scope scope;
  std::vector<std::size_t> usable;
  std::vector<std::string> domains;
  std::vector<std::uint32_t> boundaries;
  std::map<std::size_t, LayerCost> costs;
  std::map<std::size_t, std::size_t> engine_domain;
  std::map<std::pair<std::uint32_t, std::size_t>, Label> labels;
};

/// Returns up to \p count different engines that hold the first layer.
std::vector<std::size_t> DrawEntries(const std::vector<Engine>& engines,
                                     const PathQuery& query, std::size_t count,
                                     Random& random) {
  std::vector<std::size_t> entries;
  for (std::size_t index = 0; index < engines.size(); ++index) {
    const Engine& engine = engines[index];
    if (engine.layers.begin > 0 || engine.layers.Count() == 0) continue;
    if (!engine.may_begin || query.excluded.contains(engine.id)) continue;
    entries.push_back(index);
  }
  std::shuffle(entries.begin(), entries.end(), random);
  entries.resize(std::min(entries.size(), count));
  return entries;
}

}  // namespace

double TokenLayerCapacity(const EngineModel& model, const AcceleratorKind& kind,
                          std::uint32_t held) {
  const double free_mb = kind.memory_mb - model.layer_mb * held;
  if (free_mb <= 0 || model.token_mb <= 0) return 0;
  return free_mb / (model.token_mb / model.layers);
}

PathChoice FindPath(const EngineModel& model,
                    const std::vector<Engine>& engines, const PathQuery& query,
                    const PathSettings& settings, Random& random) {
  PathChoice choice;
  if (model.layers == 0) {
    choice.no_path_reason = NoPathReason::kMissingLayers;
    return choice;
  }
  const auto search = [&](Scope scope) {
    return Search(model, engines, query, settings, random, std::move(scope))
        .Run();
  };
  // An answer that is rerouted around a dead engine may cross: its caller
  // waits, its first engine is fixed, and there are few such answers.
  const bool is_reroute = !query.current.empty();
  Scope scope;
  scope.may_cross = is_reroute;
  if (settings.entry_choices > 0 && !is_reroute) {
    scope.entries = DrawEntries(engines, query, settings.entry_choices, random);
    choice.path = search(scope);
    if (choice.path) return choice;
    scope.entries.clear();
  }
  choice.path = search(scope);
  if (choice.path) return choice;
  scope.need_free = false;
  const bool covered = search(scope).has_value();
  choice.no_path_reason =
      covered ? NoPathReason::kNoCapacity : NoPathReason::kMissingLayers;
  if (covered || is_reroute) return choice;
  // No failure domain holds all layers by itself.
  scope.may_cross = true;
  scope.need_free = true;
  choice.path = search(scope);
  if (choice.path) {
    choice.no_path_reason = NoPathReason::kNone;
    return choice;
  }
  scope.need_free = false;
  choice.no_path_reason = search(scope).has_value()
                              ? NoPathReason::kNoCapacity
                              : NoPathReason::kMissingLayers;
  return choice;
}

}  // namespace toucanwharf::placement
