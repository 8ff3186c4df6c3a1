#include "toucanwharf/placement/layout.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace toucanwharf::placement {
namespace {

using pipeline::LayerRange;
using Group = std::vector<const Accelerator*>;

/// Time per token from one engine to the next inside a failure domain.
constexpr double kHopMillis = 0.1;
/// Kinds whose times per layer differ by less than this factor count as equally
/// fast.
constexpr double kEquallyFastFactor = 1.1;
/// Tolerance for rounding: sums of two ranges that differ by less are equal.
constexpr double kRoundingTolerance = 1 + 1e-9;
/// Value of a further copy of a layer, relative to the copy before.
constexpr double kFurtherCopyValue = 0.25;

/// A maximal range of layers that no engine of a cover holds.
using Gap = LayerRange;

class Planner {
 public:
  Planner(const EngineModel& engine_model, const LayoutSettings& chosen)
      : model(engine_model), settings(chosen) {}

  Layout Plan(const std::vector<Accelerator>& fleet) {
    this->RankKinds();
    std::map<std::string, Group> domains;
    for (const Accelerator& engine : fleet) {
      if (this->model.FindKind(engine.kind) == nullptr) continue;
      domains[engine.failure_domain].push_back(&engine);
    }
    Group unassigned;
    for (auto& [domain, members] : domains) {
      this->SortBestFirst(members);
      if (!this->PlanGroup(members)) {
        unassigned.insert(unassigned.end(), members.begin(), members.end());
      }
    }
    // Engines that no domain could use alone may form a cover together.
    this->SortBestFirst(unassigned);
    this->PlanGroup(unassigned);
    return std::move(this->layout);
  }

  Layout CoverAround(const std::vector<Accelerator>& members,
                     const Layout& kept, bool fastest_first) {
    this->RankKinds();
    Group free;
    for (const Accelerator& engine : members) {
      const bool usable = this->model.FindKind(engine.kind) != nullptr;
      if (usable && !kept.contains(engine.id)) free.push_back(&engine);
    }
    this->SortBestFirst(free);
    if (!fastest_first) std::reverse(free.begin(), free.end());
    const std::vector<Gap> gaps = this->FindGaps(kept);
    for (double answers = this->settings.target_answers;
         answers >= this->settings.min_answers;
         answers *= this->settings.answers_step) {
      Layout cover = kept;
      if (this->Fill(gaps, free, answers, cover)) return cover;
    }
    return {};
  }

 private:
  /// Sorts by the rank of the kinds, see RankKinds.
  void SortBestFirst(Group& members) const {
    std::sort(members.begin(), members.end(),
              [this](const Accelerator* left, const Accelerator* right) {
                const std::size_t lhs_rank = this->ranks.at(left->kind);
                const std::size_t rhs_rank = this->ranks.at(right->kind);
                return std::tie(lhs_rank, left->id) <
                       std::tie(rhs_rank, right->id);
              });
  }

  /// Returns the time that an answer of mean length spends per layer on
  /// \p kind, including the hop to the next engine.
  double MillisPerLayer(const AcceleratorKind& kind) const {
    const double layers = this->model.layers;
    const std::uint32_t each =
        LayersFor(this->model, kind, this->settings.target_answers);
    const double hop = each > 0 ? kHopMillis / each : kHopMillis;
    const double step = this->model.step_millis * kind.step_factor / layers;
    const double read = this->model.mean_prompt_tokens /
                        this->model.prefill_tokens_per_milli *
                        kind.prefill_factor / layers;
    return this->model.mean_answer_tokens * (step + hop) + read;
  }

  /// Orders the kinds, the fastest first. Of equally fast kinds those with more
  /// memory go first: a cover of fewer engines is hit less often by engine
  /// failures, and leaves more standbys.
  void RankKinds() {
    struct Rank {
      double millis;
      const AcceleratorKind* kind;
    };
    std::vector<Rank> kinds;
    for (const AcceleratorKind& kind : this->model.kinds) {
      kinds.push_back({this->MillisPerLayer(kind), &kind});
    }
    std::stable_sort(kinds.begin(), kinds.end(),
                     [](const Rank& left, const Rank& right) {
                       return left.millis < right.millis;
                     });
    for (auto first = kinds.begin(); first != kinds.end();) {
      const double limit = first->millis * kEquallyFastFactor;
      const auto last = std::find_if(first, kinds.end(), [&](const Rank& rank) {
        return rank.millis > limit;
      });
      std::stable_sort(first, last, [](const Rank& left, const Rank& right) {
        return left.kind->memory_mb > right.kind->memory_mb;
      });
      first = last;
    }
    for (const Rank& rank : kinds) {
      this->ranks.emplace(rank.kind->name, this->ranks.size());
    }
  }

  /// Keeps complete covers, repairs a broken one, builds new ones, and makes
  /// the remaining engines standbys. Returns false if there is no cover.
  ///
  /// Copies are not used as parts of a cover while there are parts: they have
  /// capacity for few answers, and engines that are replaced one after the
  /// other would finally leave a cover of copies, complete and always full.
  bool PlanGroup(Group members) {
    this->covers.clear();
    while (this->KeepCompleteCover(members, &Planner::IsCoverPart)) {
    }
    while (this->RepairCover(members, &Planner::IsCoverPart)) {
    }
    if (this->covers.empty()) {
      while (this->KeepCompleteCover(members, &Planner::CanKeep)) {
      }
      if (this->covers.empty()) this->RepairCover(members, &Planner::CanKeep);
    }
    while (this->BuildCover(members)) {
    }
    this->AssignStandbys(members);
    return !this->covers.empty();
  }

  /// Assigns to each remaining engine without layers copies of neighbouring
  /// ones, as many as leave it some capacity, so that paths are rerouted around
  /// an engine that dies or slows down. Engines with layers keep them: a path
  /// may use any part of them, and a load would cost more than a better choice
  /// gains.
  void AssignStandbys(const Group& members) {
    if (this->covers.empty()) return;
    if (!this->settings.standby_copies) return;
    std::vector<int> copies(this->model.layers, 0);
    for (const Accelerator* engine : members) {
      if (!this->CanKeep(*engine)) continue;
      CountCopies(engine->layers, copies);
      this->layout[engine->id] = engine->layers;
    }
    const std::vector<double> values = this->LayerValues();
    for (const Accelerator* engine : members) {
      if (this->CanKeep(*engine)) continue;
      const LayerRange range = this->BestCopyRange(*engine, values, copies);
      if (range.Count() == 0) continue;
      CountCopies(range, copies);
      this->layout[engine->id] = range;
    }
  }

  static void CountCopies(const LayerRange& range, std::vector<int>& copies) {
    for (std::uint32_t i = range.begin; i < range.end; ++i) ++copies[i];
  }

  /// Returns the value of a copy of each layer. A copied part protects against
  /// the loss of one engine, whatever its size, so that a layer of a large part
  /// counts less.
  std::vector<double> LayerValues() const {
    std::vector<double> values(this->model.layers, 0);
    for (const auto& parts : this->covers) {
      for (const LayerRange& part : parts) {
        for (std::uint32_t layer = part.begin; layer < part.end; ++layer) {
          values[layer] += 1.0 / part.Count();
        }
      }
    }
    return values;
  }

  /// Returns the layers that fit on \p engine and whose copies have the highest
  /// value.
  LayerRange BestCopyRange(const Accelerator& engine,
                           const std::vector<double>& values,
                           const std::vector<int>& copies) const {
    const std::uint32_t fit =
        LayersFor(this->model, *this->model.FindKind(engine.kind),
                  this->settings.standby_answers);
    if (fit == 0) return {};
    LayerRange best;
    double best_value = 0;
    for (std::uint32_t begin = 0; begin + fit <= this->model.layers; ++begin) {
      const LayerRange range{begin, begin + fit};
      double value = 0;
      for (std::uint32_t layer = range.begin; layer < range.end; ++layer) {
        value += values[layer] * std::pow(kFurtherCopyValue, copies[layer]);
      }
      if (value <= best_value * kRoundingTolerance) continue;
      best = range;
      best_value = value;
    }
    return best;
  }

  void AddCover(Group& members, const Layout& chosen) {
    std::vector<LayerRange> parts;
    for (const auto& [id, layers] : chosen) {
      this->layout[id] = layers;
      parts.push_back(layers);
    }
    std::sort(parts.begin(), parts.end());
    this->covers.push_back(std::move(parts));
    std::erase_if(members, [&](const Accelerator* engine) {
      return chosen.contains(engine->id);
    });
  }

  /// Predicate on the layers that an engine holds.
  using Predicate = bool (Planner::*)(const Accelerator&) const;

  /// Finds engines that meet \p predicate and whose layers form a complete
  /// cover, and keeps that as it is. Returns whether there was one.
  bool KeepCompleteCover(Group& members, Predicate predicate) {
    const Layout chain = this->LongestChain(members, predicate).first;
    const bool is_complete = !chain.empty() && this->FindGaps(chain).empty();
    if (is_complete) this->AddCover(members, chain);
    return is_complete;
  }

  /// Returns the disjoint ranges, held by engines that meet \p predicate, that
  /// cover the most layers together, and how many layers that is.
  std::pair<Layout, std::uint32_t> LongestChain(const Group& members,
                                                Predicate predicate) const {
    std::vector<const Accelerator*> holders;
    for (const Accelerator* engine : members) {
      if ((this->*predicate)(*engine)) holders.push_back(engine);
    }
    std::stable_sort(holders.begin(), holders.end(),
                     [](const Accelerator* left, const Accelerator* right) {
                       return left->layers.end < right->layers.end;
                     });
    // Maximum number of layers in ranges that end at or before each layer.
    const std::uint32_t layers = this->model.layers;
    std::vector<std::uint32_t> best(layers + 1, 0);
    std::vector<const Accelerator*> last(layers + 1, nullptr);
    std::size_t next = 0;
    for (std::uint32_t end = 1; end <= layers; ++end) {
      best[end] = best[end - 1];
      for (; next < holders.size() && holders[next]->layers.end == end;
           ++next) {
        const LayerRange& held = holders[next]->layers;
        const std::uint32_t sum = best[held.begin] + held.Count();
        if (sum <= best[end]) continue;
        best[end] = sum;
        last[end] = holders[next];
      }
    }
    Layout chain;
    for (std::uint32_t end = layers; end > 0;) {
      const Accelerator* engine = last[end];
      if (engine == nullptr) {
        --end;
        continue;
      }
      chain[engine->id] = engine->layers;
      end = engine->layers.begin;
    }
    return {chain, best[layers]};
  }

  /// Returns whether \p engine holds layers that it can keep.
  bool CanKeep(const Accelerator& engine) const {
    const AcceleratorKind& kind = *this->model.FindKind(engine.kind);
    return engine.layers.Count() > 0 &&
           engine.layers.end <= this->model.layers &&
           this->model.layer_mb * engine.layers.Count() < kind.memory_mb;
  }

  /// Returns whether \p engine holds part of a cover rather than a copy: layers
  /// that leave it capacity for about as many answers as a cover should have.
  bool IsCoverPart(const Accelerator& engine) const {
    constexpr double kPartCapacityShare = 0.5;
    const AcceleratorKind& kind = *this->model.FindKind(engine.kind);
    const std::uint32_t max_layers = LayersFor(
        this->model, kind, kPartCapacityShare * this->settings.target_answers);
    return engine.layers.Count() > 0 &&
           engine.layers.end <= this->model.layers &&
           engine.layers.Count() <= max_layers;
  }

  /// Returns \p engines in the order in which a cover takes them to fill its
  /// gaps: those without layers, copies, then parts of other covers that are
  /// broken.
  Group LeastNeededFirst(Group engines) const {
    std::stable_partition(engines.begin(), engines.end(),
                          [this](const Accelerator* engine) {
                            return !this->IsCoverPart(*engine);
                          });
    std::stable_partition(
        engines.begin(), engines.end(),
        [this](const Accelerator* engine) { return !this->CanKeep(*engine); });
    return engines;
  }

  std::vector<Gap> FindGaps(const Layout& chain) const {
    std::vector<LayerRange> held;
    for (const auto& [id, layers] : chain) held.push_back(layers);
    std::sort(held.begin(), held.end());
    std::vector<Gap> gaps;
    std::uint32_t next = 0;
    for (const LayerRange& range : held) {
      if (range.begin > next) gaps.push_back({next, range.begin});
      next = range.end;
    }
    if (next < this->model.layers) gaps.push_back({next, this->model.layers});
    return gaps;
  }

  /// Fills the gaps of an incomplete cover with free engines, if most of it
  /// remains, so that a few loads restore it. Its remaining engines meet
  /// \p predicate. Returns whether it was restored.
  bool RepairCover(Group& members, Predicate predicate) {
    const auto [chain, held] = this->LongestChain(members, predicate);
    if (2 * held < this->model.layers) return false;
    Group free;
    for (const Accelerator* engine : members) {
      if (!chain.contains(engine->id)) free.push_back(engine);
    }
    free = this->LeastNeededFirst(std::move(free));
    for (double answers = this->settings.target_answers;
         answers >= this->settings.min_answers; answers /= 2) {
      Layout repaired = chain;
      if (!this->Fill(this->FindGaps(chain), free, answers, repaired)) continue;
      this->AddCover(members, repaired);
      return true;
    }
    return false;
  }

  bool Fill(const std::vector<Gap>& gaps, const Group& free, double answers,
            Layout& chosen) const {
    auto next = free.begin();
    for (Gap gap : gaps) {
      while (gap.Count() > 0) {
        if (next == free.end()) return false;
        const Accelerator& engine = **next;
        ++next;
        const std::uint32_t max_layers =
            LayersFor(this->model, *this->model.FindKind(engine.kind), answers);
        const std::uint32_t assigned = std::min(max_layers, gap.Count());
        if (assigned == 0) continue;
        chosen[engine.id] = {gap.begin, gap.begin + assigned};
        gap.begin += assigned;
      }
    }
    return true;
  }

  /// Builds a new cover, with capacity for the target number of answers or,
  /// failing that, for as many as all members together allow. Beside another
  /// cover only engines without layers are used.
  bool BuildCover(Group& members) {
    if (this->covers.empty()) return this->BuildFrom(members, members);
    Group unused;
    for (const Accelerator* engine : members) {
      if (!this->CanKeep(*engine)) unused.push_back(engine);
    }
    return this->BuildFrom(unused, members);
  }

  bool BuildFrom(const Group& usable, Group& members) {
    for (double answers = this->settings.target_answers;
         answers >= this->settings.min_answers;
         answers *= this->settings.answers_step) {
      const Layout chosen = this->CoverFor(usable, answers);
      if (chosen.empty()) continue;
      this->AddCover(members, chosen);
      return true;
    }
    return false;
  }

  /// Returns a cover with capacity for \p answers, of the fastest engines;
  /// empty if they can't hold it. Engines of the slowest kind that it needs
  /// share its part evenly, as a part of two layers would waste an engine.
  Layout CoverFor(const Group& usable, double answers) const {
    Layout chosen;
    std::uint32_t next_layer = 0;
    for (auto first = usable.begin(); first != usable.end();) {
      const std::string& kind = (*first)->kind;
      const auto last = std::find_if(
          first, usable.end(),
          [&](const Accelerator* engine) { return engine->kind != kind; });
      const std::uint32_t each =
          LayersFor(this->model, *this->model.FindKind(kind), answers);
      const auto count = static_cast<std::uint32_t>(last - first);
      next_layer = this->AssignKind(
          first, std::min(count, this->Needed(next_layer, each)), each,
          next_layer, chosen);
      if (next_layer == this->model.layers) return chosen;
      first = last;
    }
    return {};
  }

  /// Returns how many engines of \p each layers hold those from \p next_layer
  /// on.
  std::uint32_t Needed(std::uint32_t next_layer, std::uint32_t each) const {
    const std::uint32_t remaining = this->model.layers - next_layer;
    return each == 0 ? 0 : (remaining + each - 1) / each;
  }

  /// Assigns even parts of the layers from \p next_layer on to \p count engines
  /// from \p first on; returns where their part ends.
  std::uint32_t AssignKind(Group::const_iterator first, std::uint32_t count,
                           std::uint32_t each, std::uint32_t next_layer,
                           Layout& chosen) const {
    const std::uint32_t assigned =
        std::min(this->model.layers - next_layer, count * each);
    for (std::uint32_t part = 0; part < count; ++part) {
      const std::uint32_t begin = next_layer + assigned * part / count;
      const std::uint32_t end = next_layer + assigned * (part + 1) / count;
      chosen[(*(first + part))->id] = {begin, end};
    }
    return next_layer + assigned;
  }

  const EngineModel& model;
  const LayoutSettings& settings;
  /// Rank of each kind in the order of use.
  std::map<std::string, std::size_t> ranks;
  Layout layout;
  /// Parts of each cover of the group that is being planned, in order.
  std::vector<std::vector<LayerRange>> covers;
};

}  // namespace

Layout CoverAround(const EngineModel& model,
                   const std::vector<Accelerator>& members, const Layout& kept,
                   bool fastest_first, const LayoutSettings& settings) {
  return Planner(model, settings).CoverAround(members, kept, fastest_first);
}

std::vector<Accelerator> Placed(std::vector<Accelerator> fleet,
                                const Layout& layout) {
  for (Accelerator& engine : fleet) {
    const auto target = layout.find(engine.id);
    if (target != layout.end()) engine.layers = target->second;
  }
  return fleet;
}

std::uint32_t LayersFor(const EngineModel& model, const AcceleratorKind& kind,
                        double answers) {
  const double tokens =
      answers * (model.mean_prompt_tokens + model.mean_answer_tokens);
  const double token_layer_mb = model.token_mb / model.layers;
  const double per_layer = model.layer_mb + tokens * token_layer_mb;
  if (per_layer <= 0) return 0;
  const double fit = kind.memory_mb / per_layer;
  return std::min(static_cast<std::uint32_t>(fit), model.layers);
}

Layout PlanLayout(const EngineModel& model,
                  const std::vector<Accelerator>& fleet,
                  const LayoutSettings& settings) {
  if (model.layers == 0) return {};
  // Plans again as if the plan were carried out, until nothing changes: the
  // next plan, by whichever leader, must not move layers again.
  constexpr int kMaxRounds = 4;
  Layout layout;
  std::vector<Accelerator> placed = fleet;
  for (int round = 0; round < kMaxRounds; ++round) {
    const Layout next = Planner(model, settings).Plan(placed);
    for (const auto& [id, layers] : next) layout[id] = layers;
    std::vector<Accelerator> moved = Placed(placed, next);
    if (moved == placed) break;
    placed = std::move(moved);
  }
  return layout;
}

}  // namespace toucanwharf::placement
