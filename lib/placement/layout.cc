#include "toucanwharf/placement/layout.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace toucanwharf::placement {
namespace {

using pipeline::LayerRange;
using Group = std::vector<const Accelerator*>;

/// Time from one engine to the next inside a failure domain, for each token.
constexpr double kHopMillis = 0.1;
/// Kinds whose times for a layer differ by less than this factor are about as
/// fast.
constexpr double kAboutAsFast = 1.1;
/// The sums of two runs that differ by less are equal but for rounding.
constexpr double kClearlyMore = 1 + 1e-9;
/// A further copy of a layer is worth so much of the one before.
constexpr double kFurtherCopy = 0.25;

/// Layers from the first that nobody holds up to the next that somebody does.
using Gap = LayerRange;

class Planner {
 public:
  Planner(const EngineModel& engine_model, const LayoutSettings& chosen)
      : model(engine_model), settings(chosen) {}

  Layout Plan(const std::vector<Accelerator>& fleet) {
    this->RankKinds();
    std::map<std::string, Group> domains;
    for (const Accelerator& one : fleet) {
      if (this->model.FindKind(one.kind) == nullptr) continue;
      domains[one.failure_domain].push_back(&one);
    }
    Group homeless;
    for (auto& [domain, members] : domains) {
      this->SortBestFirst(members);
      if (!this->PlanGroup(members)) {
        homeless.insert(homeless.end(), members.begin(), members.end());
      }
    }
    // What no domain could use alone may make a cover together.
    this->SortBestFirst(homeless);
    this->PlanGroup(homeless);
    return std::move(this->layout);
  }

 private:
  /// By the rank of their kinds, see RankKinds.
  void SortBestFirst(Group& members) const {
    std::sort(members.begin(), members.end(),
              [this](const Accelerator* left, const Accelerator* right) {
                const std::size_t a = this->ranks.at(left->kind);
                const std::size_t b = this->ranks.at(right->kind);
                return std::tie(a, left->id) < std::tie(b, right->id);
              });
  }

  /// Returns the time that an answer of usual length spends for each layer on
  /// \p kind, the way to the next engine included.
  double MillisPerLayer(const AcceleratorKind& kind) const {
    const double layers = this->model.layers;
    const std::uint32_t each =
        LayersFor(this->model, kind, this->settings.wanted_answers);
    const double hop = each > 0 ? kHopMillis / each : kHopMillis;
    const double step = this->model.step_millis * kind.step_factor / layers;
    const double read = this->model.mean_prompt_tokens /
                        this->model.prefill_tokens_per_milli *
                        kind.prefill_factor / layers;
    return this->model.mean_answer_tokens * (step + hop) + read;
  }

  /// Orders the kinds, the fastest first. Of kinds that are about as fast,
  /// those with more memory go first: a cover of fewer engines is hit less
  /// often when engines die, and leaves more of them to stand by.
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
      const double limit = first->millis * kAboutAsFast;
      const auto last = std::find_if(first, kinds.end(), [&](const Rank& one) {
        return one.millis > limit;
      });
      std::stable_sort(first, last, [](const Rank& left, const Rank& right) {
        return left.kind->memory_mb > right.kind->memory_mb;
      });
      first = last;
    }
    for (const Rank& one : kinds) {
      this->ranks.emplace(one.kind->name, this->ranks.size());
    }
  }

  /// Keeps whole covers, mends a broken one, builds new ones, and lets what is
  /// left stand by. Returns false if there is no cover.
  ///
  /// Copies are no parts of a cover while there are parts: they have room for
  /// few answers, and engines that are replaced one after the other would leave
  /// a cover of copies in the end, whole and always full.
  bool PlanGroup(Group members) {
    this->covers.clear();
    while (this->KeepWholeCover(members, &Planner::IsPart)) {
    }
    while (this->MendCover(members, &Planner::IsPart)) {
    }
    if (this->covers.empty()) {
      while (this->KeepWholeCover(members, &Planner::Holds)) {
      }
      if (this->covers.empty()) this->MendCover(members, &Planner::Holds);
    }
    while (this->BuildCover(members)) {
    }
    this->StandBy(members);
    return !this->covers.empty();
  }

  /// Gives each engine that is left without layers copies of neighbouring ones,
  /// as many as leave it some room, so that paths go around an engine that dies
  /// or turns slow. Those that hold layers keep them: a path may use any part
  /// of them, and a load would cost more than a better choice gains.
  void StandBy(const Group& members) {
    if (this->covers.empty()) return;
    if (!this->settings.standby_copies) return;
    std::vector<int> copies(this->model.layers, 0);
    for (const Accelerator* one : members) {
      if (!this->Holds(*one)) continue;
      CountCopies(one->layers, copies);
      this->layout[one->id] = one->layers;
    }
    const std::vector<double> worths = this->LayerWorths();
    for (const Accelerator* one : members) {
      if (this->Holds(*one)) continue;
      const LayerRange run = this->BestRun(*one, worths, copies);
      if (run.Count() == 0) continue;
      CountCopies(run, copies);
      this->layout[one->id] = run;
    }
  }

  static void CountCopies(const LayerRange& run, std::vector<int>& copies) {
    for (std::uint32_t at = run.begin; at < run.end; ++at) ++copies[at];
  }

  /// Returns what a copy of each layer is worth. A copied part protects against
  /// the loss of one engine, whatever its size, so that a layer of a large part
  /// counts less.
  std::vector<double> LayerWorths() const {
    std::vector<double> worths(this->model.layers, 0);
    for (const auto& parts : this->covers) {
      for (const LayerRange& part : parts) {
        for (std::uint32_t at = part.begin; at < part.end; ++at) {
          worths[at] += 1.0 / part.Count();
        }
      }
    }
    return worths;
  }

  /// Returns the layers that fit on \p one whose copies are worth most.
  LayerRange BestRun(const Accelerator& one, const std::vector<double>& worths,
                     const std::vector<int>& copies) const {
    const std::uint32_t fit =
        LayersFor(this->model, *this->model.FindKind(one.kind),
                  this->settings.standby_answers);
    if (fit == 0) return {};
    LayerRange best;
    double best_worth = 0;
    for (std::uint32_t begin = 0; begin + fit <= this->model.layers; ++begin) {
      const LayerRange run{begin, begin + fit};
      double worth = 0;
      for (std::uint32_t at = run.begin; at < run.end; ++at) {
        worth += worths[at] * std::pow(kFurtherCopy, copies[at]);
      }
      if (worth <= best_worth * kClearlyMore) continue;
      best = run;
      best_worth = worth;
    }
    return best;
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

  /// Says of an engine whether it counts for something.
  using Test = bool (Planner::*)(const Accelerator&) const;

  /// Finds engines of which \p counts holds and whose layers follow one another
  /// from first to last.
  bool KeepWholeCover(Group& members, Test counts) {
    const Layout chain = this->LongestChain(members, counts).first;
    const bool whole = !chain.empty() && this->Holes(chain).empty();
    if (whole) this->TakeCover(members, chain);
    return whole;
  }

  /// Returns the disjoint holdings that cover most layers between them, of
  /// engines of which \p counts holds, and how many layers that is.
  std::pair<Layout, std::uint32_t> LongestChain(const Group& members,
                                                Test counts) const {
    std::vector<const Accelerator*> holders;
    for (const Accelerator* one : members) {
      if ((this->*counts)(*one)) holders.push_back(one);
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

  /// Returns whether \p one holds part of a cover rather than a copy: layers
  /// that leave it room for about as many answers as a cover should have.
  bool IsPart(const Accelerator& one) const {
    constexpr double kPartOfRoom = 0.5;
    const AcceleratorKind& kind = *this->model.FindKind(one.kind);
    const std::uint32_t most = LayersFor(
        this->model, kind, kPartOfRoom * this->settings.wanted_answers);
    return one.layers.Count() > 0 && one.layers.end <= this->model.layers &&
           one.layers.Count() <= most;
  }

  /// Returns \p engines in the order in which a cover takes them to fill its
  /// holes: those that hold nothing, copies, then parts of other covers that
  /// are broken.
  Group LeastNeededFirst(Group engines) const {
    std::stable_partition(
        engines.begin(), engines.end(),
        [this](const Accelerator* one) { return !this->IsPart(*one); });
    std::stable_partition(
        engines.begin(), engines.end(),
        [this](const Accelerator* one) { return !this->Holds(*one); });
    return engines;
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
  /// it is left: then a few loads bring it back. What is left are engines of
  /// which \p counts holds. Returns whether it did.
  bool MendCover(Group& members, Test counts) {
    const auto [chain, held] = this->LongestChain(members, counts);
    if (2 * held < this->model.layers) return false;
    Group free;
    for (const Accelerator* one : members) {
      if (!chain.contains(one->id)) free.push_back(one);
    }
    free = this->LeastNeededFirst(std::move(free));
    for (double answers = this->settings.wanted_answers;
         answers >= this->settings.least_answers; answers /= 2) {
      Layout mended = chain;
      if (!this->Fill(this->Holes(chain), free, answers, mended)) continue;
      this->TakeCover(members, mended);
      return true;
    }
    return false;
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
  /// Place of each kind in the order in which kinds are used.
  std::map<std::string, std::size_t> ranks;
  Layout layout;
  /// The parts of each cover of the group that is planned, in order.
  std::vector<std::vector<LayerRange>> covers;
};

/// Puts \p layout in place on \p fleet. Returns whether that moves any layers.
bool Place(const Layout& layout, std::vector<Accelerator>& fleet) {
  bool moved = false;
  for (Accelerator& one : fleet) {
    const auto wanted = layout.find(one.id);
    if (wanted == layout.end() || wanted->second == one.layers) continue;
    one.layers = wanted->second;
    moved = true;
  }
  return moved;
}

}  // namespace

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
  // What is planned is planned again as if it were in place, until that moves
  // nothing: the next plan, by whoever leads then, must not move layers again.
  constexpr int kMostRounds = 4;
  Layout layout;
  std::vector<Accelerator> placed = fleet;
  for (int round = 0; round < kMostRounds; ++round) {
    const Layout next = Planner(model, settings).Plan(placed);
    const bool moved = Place(next, placed);
    for (const auto& [id, layers] : next) layout[id] = layers;
    if (!moved) break;
  }
  return layout;
}

}  // namespace toucanwharf::placement
