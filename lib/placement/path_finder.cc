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
constexpr double kNever = std::numeric_limits<double>::infinity();
/// A hop inside a failure domain takes about a tenth of a millisecond.
constexpr double kNearHopMillis = 0.1;
/// Room counts as used up to this part at most where crowding is priced, so
/// that the price stays finite.
constexpr double kMostCrowded = 0.95;

/// What one layer of an engine costs the answer asked for.
struct Rate {
  double token_millis = 0;
  double prompt_millis = 0;
  /// Tokens times layers that are still free, and that there are in all.
  double room = 0;
  double whole_room = 1;
  double jitter = 1;
  /// Layers that the answer runs there already.
  LayerRange held;
};

/// The best way found to a boundary in a failure domain.
struct Label {
  double cost = kNever;
  double token_millis = 0;
  double first_millis = 0;
  /// Engine of the last part, and where that part began.
  std::size_t engine = 0;
  std::uint32_t begin = 0;
  std::size_t from_domain = 0;
};

/// What a search may and must look at.
struct Scope {
  /// Whether each engine needs room for the answer.
  bool need_room = true;
  /// Whether a path may go from one failure domain to another.
  bool may_cross = true;
  /// Engines that a path may begin at; all if empty.
  std::vector<std::size_t> begin_at;
};

class Search {
 public:
  Search(const EngineModel& engine_model, const std::vector<Engine>& fleet,
         const PathQuery& path_query, const PathSettings& path_settings,
         Random& source, Scope chosen)
      : model(engine_model),
        engines(fleet),
        query(path_query),
        settings(path_settings),
        random(source),
        scope(std::move(chosen)) {}

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
    for (std::size_t at = 0; at < this->engines.size(); ++at) {
      const Engine& engine = this->engines[at];
      if (engine.layers.Count() == 0) continue;
      if (this->query.excluded.contains(engine.id)) continue;
      const AcceleratorKind* kind = this->model.FindKind(engine.kind);
      if (kind == nullptr) continue;
      if (this->scope.need_room && this->model.slots > 0 &&
          engine.layers.begin == 0 &&
          engine.first_stage_answers >= this->model.slots) {
        continue;
      }
      this->used.push_back(at);
      this->rates.emplace(at, this->RateOf(engine, *kind));
      this->engine_domain.emplace(at, this->DomainIndex(engine.failure_domain));
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

  /// Whether \p at may run the layers from \p begin to \p end, where the query
  /// keeps the first stage.
  bool Allowed(std::size_t at, std::uint32_t begin, std::uint32_t end) const {
    if (this->query.current.empty()) return begin > 0 || this->MayBegin(at);
    const pipeline::Stage& first = this->query.current.front();
    const bool is_first = this->engines[at].id == first.endpoint;
    const LayerRange& kept = first.layers;
    if (begin == 0) return is_first && end == kept.end;
    return !is_first;
  }

  bool MayBegin(std::size_t at) const {
    const auto& entries = this->scope.begin_at;
    if (entries.empty()) return true;
    return std::find(entries.begin(), entries.end(), at) != entries.end();
  }

  std::size_t DomainIndex(const std::string& domain) {
    const auto found =
        std::find(this->domains.begin(), this->domains.end(), domain);
    const auto index = static_cast<std::size_t>(found - this->domains.begin());
    if (found == this->domains.end()) this->domains.push_back(domain);
    return index;
  }

  /// Returns the layers that the answer runs on \p engine already.
  LayerRange HeldBy(const Engine& engine) const {
    for (const pipeline::Stage& stage : this->query.current) {
      if (stage.endpoint == engine.id) return stage.layers;
    }
    return {};
  }

  Rate RateOf(const Engine& engine, const AcceleratorKind& kind) {
    Rate rate;
    const double layers = this->model.layers;
    rate.held = this->HeldBy(engine);
    const double step =
        this->model.step_millis +
        this->model.step_millis_per_answer * (engine.answers + 1) +
        this->model.step_millis_per_kilotoken * engine.token_layers /
            (engine.layers.Count() * kPerThousand);
    rate.token_millis = step * kind.step_factor * engine.slowdown / layers;
    rate.prompt_millis = this->query.prompt_tokens /
                         this->model.prefill_tokens_per_milli *
                         kind.prefill_factor * engine.slowdown / layers;
    rate.whole_room = std::max(
        1.0, TokenLayerCapacity(this->model, kind, engine.layers.Count()) *
                 this->settings.capacity_share);
    // What the answer itself takes up there is free for it.
    rate.room = rate.whole_room - engine.token_layers +
                this->Needed() * rate.held.Count();
    rate.jitter = 1 + this->settings.jitter * (2 * this->random.Unit() - 1);
    return rate;
  }

  /// Returns what an engine whose room is used up by so much costs, against an
  /// empty one. Without it the fastest engines are filled to the brim, where
  /// answers that turn out longer than guessed crowd each other out.
  static double Crowding(const Rate& rate, double needed) {
    const double used =
        std::min(kMostCrowded, 1 - (rate.room - needed) / rate.whole_room);
    return 1 / ((1 - used) * (1 - used));
  }

  double HopMillis(std::size_t left, std::size_t right) const {
    if (left == right) return kNearHopMillis;
    for (const DomainDelay& delay : this->model.delays) {
      const bool there = delay.left == this->domains[left] &&
                         delay.right == this->domains[right];
      const bool back = delay.left == this->domains[right] &&
                        delay.right == this->domains[left];
      if (there || back) return delay.millis + kNearHopMillis;
    }
    return kNearHopMillis;
  }

  void Extend(std::uint32_t boundary) {
    for (std::size_t domain = 0; domain < this->domains.size(); ++domain) {
      const auto found = this->labels.find({boundary, domain});
      if (found == this->labels.end()) continue;
      const Label from = found->second;
      for (const std::size_t at : this->used) {
        const LayerRange& held = this->engines[at].layers;
        if (held.begin > boundary || held.end <= boundary) continue;
        // One endpoint runs one part: it doesn't follow itself.
        if (boundary > 0 && from.engine == at) continue;
        this->ExtendBy(at, boundary, domain, from);
      }
    }
  }

  void ExtendBy(std::size_t at, std::uint32_t begin, std::size_t domain,
                const Label& from) {
    const LayerRange& held = this->engines[at].layers;
    const Rate& rate = this->rates.at(at);
    const std::size_t own = this->engine_domain.at(at);
    double hop = HopMillis(domain, own);
    // The way from the router carries events only, no activations.
    const bool crosses = domain != own && begin > 0;
    if (crosses && !this->scope.may_cross) return;
    if (crosses) hop += this->settings.crossing_millis;
    const auto first = std::upper_bound(this->boundaries.begin(),
                                        this->boundaries.end(), begin);
    for (auto end = first; end != this->boundaries.end(); ++end) {
      if (*end > held.end) break;
      if (!this->Allowed(at, begin, *end)) continue;
      const double layers = *end - begin;
      if (this->scope.need_room && this->Needed() * layers > rate.room) break;
      Label label;
      label.token_millis = from.token_millis + hop + rate.token_millis * layers;
      const bool stays = rate.held == LayerRange{begin, *end};
      const double read_millis = stays ? 0 : rate.prompt_millis * layers;
      label.first_millis = from.first_millis + hop + read_millis;
      const double crowding = this->settings.price_congestion
                                  ? Crowding(rate, this->Needed() * layers)
                                  : 1;
      label.cost = from.cost +
                   (hop + rate.token_millis * layers * crowding) * rate.jitter *
                       this->query.output_tokens +
                   read_millis;
      label.engine = at;
      label.begin = begin;
      label.from_domain = domain;
      Label& best = this->labels[{*end, own}];
      if (label.cost < best.cost) best = label;
    }
  }

  std::optional<Path> Trace() const {
    const Label* last = nullptr;
    std::size_t domain = 0;
    for (std::size_t at = 0; at < this->domains.size(); ++at) {
      const auto found = this->labels.find({this->model.layers, at});
      if (found == this->labels.end()) continue;
      if (last != nullptr && last->cost <= found->second.cost) continue;
      last = &found->second;
      domain = at;
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

  /// An engine that comes twice holds everything between as well, so it can
  /// run all of that as one part; no engine may be named twice.
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
  std::vector<std::size_t> used;
  std::vector<std::string> domains;
  std::vector<std::uint32_t> boundaries;
  std::map<std::size_t, Rate> rates;
  std::map<std::size_t, std::size_t> engine_domain;
  std::map<std::pair<std::uint32_t, std::size_t>, Label> labels;
};

/// Returns up to \p count different engines that hold the first layer.
std::vector<std::size_t> DrawEntries(const std::vector<Engine>& engines,
                                     const PathQuery& query, std::size_t count,
                                     Random& random) {
  std::vector<std::size_t> entries;
  for (std::size_t at = 0; at < engines.size(); ++at) {
    const Engine& engine = engines[at];
    if (engine.layers.begin > 0 || engine.layers.Count() == 0) continue;
    if (query.excluded.contains(engine.id)) continue;
    entries.push_back(at);
  }
  std::shuffle(entries.begin(), entries.end(), random);
  entries.resize(std::min(entries.size(), count));
  return entries;
}

}  // namespace

double TokenLayerCapacity(const EngineModel& model, const AcceleratorKind& kind,
                          std::uint32_t held) {
  const double left = kind.memory_mb - model.layer_mb * held;
  if (left <= 0 || model.token_mb <= 0) return 0;
  return left / (model.token_mb / model.layers);
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
  // An answer that goes around a dead engine may cross: its caller waits, its
  // first engine is fixed, and there are few of them.
  const bool goes_around = !query.current.empty();
  Scope scope;
  scope.may_cross = goes_around;
  if (settings.entry_choices > 0 && !goes_around) {
    scope.begin_at =
        DrawEntries(engines, query, settings.entry_choices, random);
    choice.path = search(scope);
    if (choice.path) return choice;
    scope.begin_at.clear();
  }
  choice.path = search(scope);
  if (choice.path) return choice;
  scope.need_room = false;
  const bool covered = search(scope).has_value();
  choice.no_path_reason =
      covered ? NoPathReason::kNoCapacity : NoPathReason::kMissingLayers;
  if (covered || goes_around) return choice;
  // No failure domain holds all layers by itself.
  scope.may_cross = true;
  scope.need_room = true;
  choice.path = search(scope);
  if (choice.path) {
    choice.no_path_reason = NoPathReason::kNone;
    return choice;
  }
  scope.need_room = false;
  choice.no_path_reason = search(scope).has_value()
                              ? NoPathReason::kNoCapacity
                              : NoPathReason::kMissingLayers;
  return choice;
}

}  // namespace toucanwharf::placement
