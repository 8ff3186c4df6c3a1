#include "toucanwharf/placement/layout.h"

#include <algorithm>
#include <set>
#include <utility>

namespace toucanwharf::placement {
namespace {

using pipeline::LayerRange;
using Group = std::vector<const Accelerator*>;

/// Layers from the first that nobody holds up to the next that somebody does.
using Gap = LayerRange;

class Planner {
 public:
  Planner(const EngineModel& engine_model, const LayoutSettings& chosen)
      : model(engine_model), settings(chosen) {}

  Layout Plan(const std::vector<Accelerator>& fleet) {
    std::map<std::string, Group> domains;
    for (const Accelerator& one : fleet) {
      if (this->model.FindKind(one.kind) == nullptr) continue;
      domains[one.failure_domain].push_back(&one);
    }
    Group homeless;
    for (auto& [domain, members] : domains) {
      this->SortFastestFirst(members);
      if (!this->PlanGroup(members)) {
        homeless.insert(homeless.end(), members.begin(), members.end());
      }
    }
    // What no domain could use alone may make a cover together.
    this->SortFastestFirst(homeless);
    this->PlanGroup(homeless);
    return std::move(this->layout);
  }

 private:
  void SortFastestFirst(Group& members) const {
    std::sort(members.begin(), members.end(),
              [this](const Accelerator* left, const Accelerator* right) {
                const double a = this->model.FindKind(left->kind)->step_factor;
                const double b = this->model.FindKind(right->kind)->step_factor;
                return std::pair(a, left->id) < std::pair(b, right->id);
              });
  }

  /// Keeps whole covers, mends a broken one, builds new ones, and lets what is
  /// left stand by. Returns false if there is no cover.
  bool PlanGroup(Group members) {
    this->covers.clear();
    while (this->KeepWholeCover(members)) {
    }
    if (this->covers.empty()) this->MendCover(members);
    while (this->BuildCover(members)) {
    }
    this->StandBy(members);
    return !this->covers.empty();
  }

  /// Gives each engine that is left without layers a copy of neighbouring
  /// parts of a cover, as many as leave it some room, so that paths go around
  /// one that dies. Those that hold layers keep them: a path may use any part
  /// of them, and a load would cost more than a better choice gains.
  void StandBy(const Group& members) {
    std::set<LayerRange> copied;
    for (const Accelerator* one : members) {
      if (!this->Holds(*one)) continue;
      copied.insert(one->layers);
      this->layout[one->id] = one->layers;
    }
    for (const Accelerator* one : members) {
      if (this->Holds(*one)) continue;
      const LayerRange run = this->BestRun(*one, copied);
      if (run.Count() == 0) continue;
      copied.insert(run);
      this->layout[one->id] = run;
    }
  }

  /// Returns the neighbouring parts that fit on \p one and of which the fewest
  /// layers are copied already; the most layers first.
  LayerRange BestRun(const Accelerator& one,
                     const std::set<LayerRange>& copied) const {
    const std::uint32_t fit =
        LayersFor(this->model, *this->model.FindKind(one.kind),
                  this->settings.standby_answers);
    LayerRange best;
    std::int64_t best_gain = 0;
    for (const auto& parts : this->covers) {
      for (std::size_t from = 0; from < parts.size(); ++from) {
        for (std::size_t to = from; to < parts.size(); ++to) {
          const LayerRange run{parts[from].begin, parts[to].end};
          if (run.Count() > fit) break;
          const std::int64_t gain = NewLayers(run, copied);
          if (gain <= best_gain) continue;
          best = run;
          best_gain = gain;
        }
      }
    }
    return best;
  }

  static std::int64_t NewLayers(const LayerRange& run,
                                const std::set<LayerRange>& copied) {
    std::int64_t fresh = run.Count();
    for (const LayerRange& one : copied) {
      const std::uint32_t begin = std::max(one.begin, run.begin);
      const std::uint32_t end = std::min(one.end, run.end);
      if (end > begin) fresh -= end - begin;
    }
    return fresh;
  }

  void TakeCover(Group& members, const Layout& chosen) {
    std::vector<LayerRange> parts;
    for (const auto& [id, layers] : chosen) {
      this->layout[id] = layers;
      parts.push_back(layers);
    }
    std::sort(parts.begin(), parts.end());
    this->covers.push_back(std::move(parts));
    std::erase_if(members, [&](const Accelerator* one) {
      return chosen.contains(one->id);
    });
  }

  /// Finds engines whose layers follow one another from first to last.
  bool KeepWholeCover(Group& members) {
    const Layout chain = this->LongestChain(members).first;
    const bool whole = !chain.empty() && this->Holes(chain).empty();
    if (whole) this->TakeCover(members, chain);
    return whole;
  }

  /// Returns the disjoint holdings that cover most layers between them, and
  /// how many layers that is.
  std::pair<Layout, std::uint32_t> LongestChain(const Group& members) const {
    std::vector<const Accelerator*> holders;
    for (const Accelerator* one : members) {
      if (this->Holds(*one)) holders.push_back(one);
    }
    std::stable_sort(holders.begin(), holders.end(),
                     [](const Accelerator* left, const Accelerator* right) {
                       return left->layers.end < right->layers.end;
                     });
    // Best sum of layers with ranges that end at or before each layer.
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
      const Accelerator* one = last[end];
      if (one == nullptr) {
        --end;
        continue;
      }
      chain[one->id] = one->layers;
      end = one->layers.begin;
    }
    return {chain, best[layers]};
  }

  /// Returns whether \p one holds layers that it can go on holding.
  bool Holds(const Accelerator& one) const {
    const AcceleratorKind& kind = *this->model.FindKind(one.kind);
    return one.layers.Count() > 0 && one.layers.end <= this->model.layers &&
           this->model.layer_mb * one.layers.Count() < kind.memory_mb;
  }

  std::vector<Gap> Holes(const Layout& chain) const {
    std::vector<LayerRange> held;
    for (const auto& [id, layers] : chain) held.push_back(layers);
    std::sort(held.begin(), held.end());
    std::vector<Gap> holes;
    std::uint32_t at = 0;
    for (const LayerRange& range : held) {
      if (range.begin > at) holes.push_back({at, range.begin});
      at = range.end;
    }
    if (at < this->model.layers) holes.push_back({at, this->model.layers});
    return holes;
  }

  /// Fills the holes of what is left of a cover with free engines, if most of
  /// it is left: then a few loads bring it back.
  void MendCover(Group& members) {
    const auto [chain, held] = this->LongestChain(members);
    if (2 * held < this->model.layers) return;
    Group free;
    for (const Accelerator* one : members) {
      if (!chain.contains(one->id)) free.push_back(one);
    }
    for (double answers = this->settings.wanted_answers;
         answers >= this->settings.least_answers; answers /= 2) {
      Layout mended = chain;
      if (!this->Fill(this->Holes(chain), free, answers, mended)) continue;
      this->TakeCover(members, mended);
      return;
    }
  }

  bool Fill(const std::vector<Gap>& holes, const Group& free, double answers,
            Layout& chosen) const {
    auto next = free.begin();
    for (Gap hole : holes) {
      while (hole.Count() > 0) {
        if (next == free.end()) return false;
        const Accelerator& one = **next;
        ++next;
        const std::uint32_t most =
            LayersFor(this->model, *this->model.FindKind(one.kind), answers);
        const std::uint32_t taken = std::min(most, hole.Count());
        if (taken == 0) continue;
        chosen[one.id] = {hole.begin, hole.begin + taken};
        hole.begin += taken;
      }
    }
    return true;
  }

  /// Builds a cover from scratch, with room for as many answers as wanted or,
  /// failing that, as many as all members together allow. Beside another cover
  /// only engines without layers are used.
  bool BuildCover(Group& members) {
    if (this->covers.empty()) return this->BuildFrom(members, members);
    Group unused;
    for (const Accelerator* one : members) {
      if (!this->Holds(*one)) unused.push_back(one);
    }
    return this->BuildFrom(unused, members);
  }

  bool BuildFrom(const Group& usable, Group& members) {
    for (double answers = this->settings.wanted_answers;
         answers >= this->settings.least_answers;
         answers *= this->settings.answers_step) {
      const Layout chosen = this->CoverFor(usable, answers);
      if (chosen.empty()) continue;
      this->TakeCover(members, chosen);
      return true;
    }
    return false;
  }

  /// Returns a cover with room for \p answers, of the fastest engines; empty
  /// if they can't hold it. The slowest kind that it needs shares its part
  /// evenly, for a part of two layers would waste an engine.
  Layout CoverFor(const Group& usable, double answers) const {
    Layout chosen;
    std::uint32_t at = 0;
    for (auto first = usable.begin(); first != usable.end();) {
      const std::string& kind = (*first)->kind;
      const auto last = std::find_if(
          first, usable.end(),
          [&](const Accelerator* one) { return one->kind != kind; });
      const std::uint32_t each =
          LayersFor(this->model, *this->model.FindKind(kind), answers);
      const auto count = static_cast<std::uint32_t>(last - first);
      at = this->TakeKind(first, std::min(count, this->Needed(at, each)), each,
                          at, chosen);
      if (at == this->model.layers) return chosen;
      first = last;
    }
    return {};
  }

  /// Returns how many engines of \p each layers hold those from \p at on.
  std::uint32_t Needed(std::uint32_t at, std::uint32_t each) const {
    const std::uint32_t left = this->model.layers - at;
    return each == 0 ? 0 : (left + each - 1) / each;
  }

  /// Gives \p count engines from \p first on even parts of the layers from
  /// \p at on; returns where their part ends.
  std::uint32_t TakeKind(Group::const_iterator first, std::uint32_t count,
                         std::uint32_t each, std::uint32_t at,
                         Layout& chosen) const {
    const std::uint32_t taken = std::min(this->model.layers - at, count * each);
    for (std::uint32_t part = 0; part < count; ++part) {
      const std::uint32_t begin = at + taken * part / count;
      const std::uint32_t end = at + taken * (part + 1) / count;
      chosen[(*(first + part))->id] = {begin, end};
    }
    return at + taken;
  }

  const EngineModel& model;
  const LayoutSettings& settings;
  Layout layout;
  /// The parts of each cover of the group that is planned, in order.
  std::vector<std::vector<LayerRange>> covers;
};

}  // namespace

std::uint32_t LayersFor(const EngineModel& model, const AcceleratorKind& kind,
                        double answers) {
  const double tokens = answers * (model.usual_prompt + model.usual_answer);
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
  return Planner(model, settings).Plan(fleet);
}

}  // namespace toucanwharf::placement
