#include "toucanwharf/placement/layout_improvement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace toucanwharf::placement {
namespace {

using Fleet = std::vector<Accelerator>;
using pipeline::LayerRange;

Fleet Loaded(Fleet fleet) {
  for (Accelerator& engine : fleet) engine.loading.reset();
  return fleet;
}

/// Returns the layers that \p layout has \p engine change to, or null.
const LayerRange* ChangeOf(const Layout& layout, const Accelerator& engine) {
  const auto target = layout.find(engine.id);
  const bool changes =
      target != layout.end() && target->second != engine.layers;
  return changes ? &target->second : nullptr;
}

/// Assigns the parts \p ranges to engines of one kind: to one that holds just
/// that part, or else to the one that holds the most of it.
void AssignToHolders(const std::vector<LayerRange>& ranges,
                     std::vector<const Accelerator*> engines, Layout& layout) {
  const auto assign = [&](const auto& engine, const LayerRange& range) {
    layout[(*engine)->id] = range;
    engines.erase(engine);
  };
  std::vector<LayerRange> unassigned;
  for (const LayerRange& range : ranges) {
    const auto holder = std::find_if(
        engines.begin(), engines.end(),
        [&](const Accelerator* engine) { return engine->layers == range; });
    if (holder == engines.end()) {
      unassigned.push_back(range);
    } else {
      assign(holder, range);
    }
  }
  for (const LayerRange& range : unassigned) {
    // An engine without layers gives up nothing.
    constexpr double kEmptyScore = 0.5;
    const auto score = [&](const Accelerator* engine) {
      if (engine->layers.Count() == 0) return kEmptyScore;
      return static_cast<double>(
          pipeline::Intersection(engine->layers, range).Count());
    };
    const auto holder = std::max_element(
        engines.begin(), engines.end(),
        [&](const Accelerator* left, const Accelerator* right) {
          return score(left) < score(right);
        });
    if (holder == engines.end()) return;
    assign(holder, range);
  }
}

/// Returns the moves of engines without layers in \p moves.
Layout NewcomersOf(const Fleet& fleet, const Layout& moves) {
  Layout chosen;
  for (const Accelerator& engine : fleet) {
    const auto move = moves.find(engine.id);
    if (move == moves.end() || engine.layers.Count() > 0) continue;
    chosen.insert(*move);
  }
  return chosen;
}

/// Returns covers that keep the one, two, or more largest parts that engines of
/// \p members hold, and of which the other engines hold the rest.
std::vector<Layout> CoversAroundLargest(const EngineModel& model,
                                        const Fleet& members,
                                        const LayoutSettings& settings) {
  std::vector<const Accelerator*> holders;
  for (const Accelerator& engine : members) {
    if (engine.Serves().Count() > 0) holders.push_back(&engine);
  }
  std::stable_sort(holders.begin(), holders.end(),
                   [](const Accelerator* left, const Accelerator* right) {
                     return left->Serves().Count() > right->Serves().Count();
                   });
  std::vector<Layout> covers;
  Layout kept;
  for (const Accelerator* holder : holders) {
    const bool overlaps =
        std::any_of(kept.begin(), kept.end(), [&](const auto& part) {
          return pipeline::Intersection(part.second, holder->Serves()).Count() >
                 0;
        });
    if (overlaps) continue;
    kept[holder->id] = holder->Serves();
    for (const bool fastest_first : {true, false}) {
      Layout cover = CoverAround(model, members, kept, fastest_first, settings);
      if (!cover.empty()) covers.push_back(std::move(cover));
    }
  }
  return covers;
}

/// What the improvement of a failure domain depends on beside its engines.
struct FleetContext {
  /// Engines on which paths depend now.
  std::set<std::string> serving;
  /// The same once all orders are carried out and lost engines are back.
  std::set<std::string> ordered;
  /// The covers of the fleet, repaired by PlanLayout.
  Layout repaired;
  /// Seconds until lost engines are expected back, by engine.
  std::map<std::string, double> absent;
};

/// Finds the way to a better layout of one failure domain, or of a fleet of
/// which no domain can hold all layers.
class DomainImprover {
 public:
  /// Precondition: all references outlive the improver.
  DomainImprover(const EngineModel& engine_model, const Fleet& domain_members,
                 const LayoutSettings& chosen,
                 const ImprovementSettings& improvement_settings,
                 const FleetContext& fleet_context)
      : model(engine_model),
        members(domain_members),
        layout_settings(chosen),
        settings(improvement_settings),
        context(fleet_context) {
    for (const Accelerator& engine : domain_members) {
      if (!fleet_context.absent.contains(engine.id)) {
        this->there.push_back(engine);
      }
    }
  }

  Improvement Run() {
    this->result.present = this->CapacityOf(this->members);
    const Option stay = this->MakeOption({}, this->members);
    const Option best = this->MakeOption(
        BestCovers(this->model, this->members, this->layout_settings),
        this->members);
    this->result.ordered = stay.expected;
    this->result.expected = stay.expected;
    this->result.best = best.expected;
    if (this->result.present.answers > 0) {
      this->Improve(stay, best);
    } else {
      this->Restore(stay, best);
    }
    return this->result;
  }

 private:
  /// A layout that may follow.
  struct Option {
    Layout covers;
    Capacity expected;
    /// Until the engines have loaded their layers.
    double seconds = 0;
  };

  Option MakeOption(const Layout& covers, const Fleet& engines) const {
    return {covers, this->CapacityOf(Loaded(Placed(engines, covers))),
            this->SecondsUntilLoaded(covers, engines)};
  }

  Capacity CapacityOf(const Fleet& fleet) const {
    return EstimateCapacity(this->model, fleet,
                            this->layout_settings.min_answers);
  }

  double SecondsUntilLoaded(const Layout& covers, const Fleet& engines) const {
    const double layer_seconds = this->model.load_seconds / this->model.layers;
    double all = 0;
    double longest = 0;
    for (const Accelerator& engine : engines) {
      const LayerRange* change = ChangeOf(covers, engine);
      const LayerRange& target = change == nullptr ? engine.layers : *change;
      const LayerRange kept = pipeline::Intersection(engine.Serves(), target);
      const double seconds = (target.Count() - kept.Count()) * layer_seconds;
      const auto away = this->context.absent.find(engine.id);
      const double until_back =
          away == this->context.absent.end() ? 0 : away->second;
      all += seconds;
      longest = std::max(longest, until_back + seconds);
    }
    return std::max(longest, all / this->model.parallel_loads);
  }

  void Improve(const Option& stay, const Option& best) {
    this->ChooseMostServed(
        stay, {best, this->MakeOption(this->context.repaired, this->there)});
    if (this->result.covers.empty()) return;
    this->result.moves = this->IdleMoves(this->result.covers);
    if (this->result.moves.empty()) {
      this->result.moves = this->MovesOfServing();
    }
  }

  /// Chooses the option that serves the most until the horizon, if that is
  /// worth a change.
  void ChooseMostServed(const Option& stay,
                        const std::vector<Option>& options) {
    const double horizon = this->settings.horizon_seconds;
    double most_served =
        stay.expected.answers_per_second * horizon * this->settings.min_gain;
    for (const Option& option : options) {
      const double served =
          this->result.present.answers_per_second * option.seconds +
          option.expected.answers_per_second * (horizon - option.seconds);
      if (served <= most_served) continue;
      most_served = served;
      this->Choose(option);
    }
  }

  /// Has idle engines fill the gaps of a cover if they can. Otherwise waits for
  /// engines that load or are expected back, or makes the layout anew,
  /// whichever serves more.
  void Restore(const Option& stay, const Option& best) {
    const Layout newcomers = NewcomersOf(this->members, best.covers);
    this->result.moves = this->IdleMoves(this->context.repaired);
    if (!this->Serves(this->result.moves)) {
      this->result.moves = this->RestoringMoves(stay, best);
    }
    this->result.moves.insert(newcomers.begin(), newcomers.end());
  }

  /// Returns whether the engines that are there serve anything once they have
  /// loaded \p moves.
  bool Serves(const Layout& moves) const {
    return !moves.empty() &&
           this->MakeOption(moves, this->there).expected.answers > 0;
  }

  Layout RestoringMoves(const Option& stay, const Option& best) {
    double most_served = this->ServedAsFirstStep(stay, best);
    const Option with_newcomers = this->MakeOption(
        NewcomersOf(this->members, best.covers), this->members);
    most_served =
        std::max(most_served, this->ServedAsFirstStep(with_newcomers, best)) *
        this->settings.min_gain;
    std::vector<Layout> ways =
        CoversAroundLargest(this->model, this->there, this->layout_settings);
    ways.push_back(this->context.repaired);
    for (const Layout& covers : ways) {
      const Option option = this->MakeOption(covers, this->there);
      const double served = this->ServedAsFirstStep(option, best);
      if (served <= most_served) continue;
      most_served = served;
      this->Choose(option);
    }
    return this->MovesOfNotServing(this->result.covers);
  }

  /// Returns how many answers are served until the horizon if the best covers
  /// follow \p option, as soon as their engines are there and have loaded.
  double ServedAsFirstStep(const Option& option, const Option& best) const {
    const double rate = option.expected.answers_per_second;
    const double horizon = this->settings.horizon_seconds;
    const double begin = std::min(option.seconds, horizon);
    const double best_begin =
        std::clamp(option.seconds + best.seconds + this->settings.drain_seconds,
                   begin, horizon);
    return rate * (best_begin - begin) +
           std::max(rate, best.expected.answers_per_second) *
               (horizon - best_begin);
  }

  void Choose(const Option& option) {
    this->result.covers = option.covers;
    this->result.expected = option.expected;
    this->result.load_seconds = option.seconds;
  }

  /// Returns the moves of engines on which no path depends, now or later.
  Layout IdleMoves(const Layout& covers) const {
    Layout moves = this->MovesOfNotServing(covers);
    std::erase_if(moves, [this](const auto& move) {
      return this->context.ordered.contains(move.first);
    });
    return moves;
  }

  Layout MovesOfNotServing(const Layout& covers) const {
    Layout moves;
    for (const Accelerator& engine : this->members) {
      const LayerRange* target = ChangeOf(covers, engine);
      if (target == nullptr || engine.loading) continue;
      if (this->context.serving.contains(engine.id)) continue;
      moves[engine.id] = *target;
    }
    return moves;
  }

  /// Returns a move of one engine that costs next to nothing, while it loads
  /// and after; if there is none, all moves, if their gain exceeds the cost.
  Layout MovesOfServing() const {
    const Fleet before = Loaded(this->members);
    const double enough = this->settings.negligible_loss *
                          this->result.present.answers_per_second;
    Layout all;
    for (const Accelerator& engine : this->members) {
      const LayerRange* target = ChangeOf(this->result.covers, engine);
      if (target == nullptr || engine.loading) continue;
      const Layout move = {{engine.id, *target}};
      all.insert(move.begin(), move.end());
      const bool costs_nothing =
          this->RateWhileLoading(move) >= enough &&
          this->CapacityOf(Placed(before, move)).answers_per_second >= enough;
      if (costs_nothing) return move;
    }
    return this->IsWorth(all) ? all : Layout{};
  }

  /// Returns the answers per second while the engines of \p moves load.
  double RateWhileLoading(const Layout& moves) const {
    Fleet fleet = this->members;
    for (Accelerator& engine : fleet) {
      if (moves.contains(engine.id)) engine.loading = LayerRange{};
    }
    return this->CapacityOf(fleet).answers_per_second;
  }

  /// Returns whether the gain of \p moves exceeds what is lost while their
  /// engines drain and load.
  bool IsWorth(const Layout& moves) const {
    const bool any_loading = std::any_of(
        this->members.begin(), this->members.end(),
        [](const auto& engine) { return engine.loading.has_value(); });
    if (any_loading || moves.empty()) return false;
    const double present = this->result.present.answers_per_second;
    const double lost = present - this->RateWhileLoading(moves);
    const double gain = this->result.expected.answers_per_second - present;
    const double moving =
        this->result.load_seconds + this->settings.drain_seconds;
    return gain * (this->settings.settled_horizon_seconds - moving) >
           lost * moving;
  }

  const EngineModel& model;
  const Fleet& members;
  const LayoutSettings& layout_settings;
  const ImprovementSettings& settings;
  const FleetContext& context;
  /// The members that are there.
  Fleet there;
  Improvement result;
};

Improvement Sum(const std::vector<Improvement>& parts) {
  Improvement sum;
  for (const Improvement& part : parts) {
    sum.covers.insert(part.covers.begin(), part.covers.end());
    sum.present += part.present;
    sum.ordered += part.ordered;
    sum.expected += part.expected;
    sum.best += part.best;
  }
  return sum;
}

/// Returns the moves of \p parts. While a failure domain that serves nothing is
/// restored, the others move only engines without layers: more loads at the
/// same time would take longer.
Layout UrgentMoves(const Fleet& fleet, const std::vector<Improvement>& parts) {
  const bool restoring =
      std::any_of(parts.begin(), parts.end(), [](const Improvement& part) {
        return part.present.answers <= 0 &&
               (part.ordered.answers > 0 || !part.moves.empty());
      });
  Layout moves;
  for (const Improvement& part : parts) {
    const bool waits = restoring && part.present.answers > 0;
    const Layout chosen = waits ? NewcomersOf(fleet, part.moves) : part.moves;
    moves.insert(chosen.begin(), chosen.end());
  }
  return moves;
}

}  // namespace

Layout BestCovers(const EngineModel& model,
                  const std::vector<Accelerator>& fleet,
                  const LayoutSettings& settings) {
  Fleet empty = fleet;
  for (Accelerator& engine : empty) engine.layers = {};
  LayoutSettings only_covers = settings;
  only_covers.standby_copies = false;
  const Layout planned = PlanLayout(model, empty, only_covers);
  using DomainAndKind = std::pair<std::string, std::string>;
  std::map<DomainAndKind, std::vector<LayerRange>> ranges;
  std::map<DomainAndKind, std::vector<const Accelerator*>> engines;
  for (const Accelerator& engine : fleet) {
    const DomainAndKind key{engine.failure_domain, engine.kind};
    engines[key].push_back(&engine);
    const auto part = planned.find(engine.id);
    if (part != planned.end()) ranges[key].push_back(part->second);
  }
  Layout layout;
  for (const auto& [key, parts] : ranges) {
    AssignToHolders(parts, engines[key], layout);
  }
  return layout;
}

Improvement ImproveLayout(const EngineModel& model,
                          const std::vector<Accelerator>& fleet,
                          const std::vector<ExpectedEngine>& expected,
                          const LayoutSettings& layout_settings,
                          const ImprovementSettings& settings) {
  LayoutSettings only_covers = layout_settings;
  only_covers.standby_copies = false;
  FleetContext context;
  context.repaired = PlanLayout(model, fleet, only_covers);
  Fleet all_engines = fleet;
  for (const ExpectedEngine& each : expected) {
    all_engines.push_back(each.engine);
    context.absent.emplace(each.engine.id, each.seconds);
  }
  context.serving =
      EstimateCapacity(model, fleet, layout_settings.min_answers).engines;
  context.ordered =
      EstimateCapacity(model, Loaded(all_engines), layout_settings.min_answers)
          .engines;
  const auto improve = [&](const Fleet& members) {
    return DomainImprover(model, members, layout_settings, settings, context)
        .Run();
  };
  std::map<std::string, Fleet> domains;
  for (const Accelerator& engine : all_engines) {
    domains[engine.failure_domain].push_back(engine);
  }
  std::vector<Improvement> parts;
  for (const auto& [domain, members] : domains) {
    parts.push_back(improve(members));
  }
  Improvement all = Sum(parts);
  // No failure domain can hold all layers by itself.
  if (all.best.answers <= 0) return improve(all_engines);
  all.moves = UrgentMoves(fleet, parts);
  return all;
}

}  // namespace toucanwharf::placement
