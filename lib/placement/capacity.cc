#include "toucanwharf/placement/capacity.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "toucanwharf/placement/path_finder.h"

namespace toucanwharf::placement {
namespace {

using Group = std::vector<const Accelerator*>;

constexpr double kMillisPerSecond = 1000;
/// Time per token from one engine to the next.
constexpr double kHopMillis = 0.1;

/// One engine and the memory that no path has taken yet.
struct Holder {
  const Accelerator* engine;
  /// In tokens times layers.
  double free = 0;
};

/// Engines of one kind that serve the same layers. A search considers only the
/// one with the most free memory of each group, as fleets have many engines and
/// few groups.
struct HolderGroup {
  pipeline::LayerRange layers;
  /// Time of one token and of the prompt per layer.
  double token_millis = 0;
  double prompt_millis = 0;
  std::vector<Holder> holders;
  /// Index of the holder with the most free memory.
  std::size_t freest = 0;
};

/// The fastest partial path up to a layer.
struct Label {
  double answer_millis = std::numeric_limits<double>::infinity();
  double token_millis = 0;
  std::size_t group = 0;
  std::uint32_t begin = 0;
};

/// Takes paths from a group of engines until none is left.
class PathTaker {
 public:
  PathTaker(const EngineModel& engine_model, const Group& group,
            double fewest_answers)
      : model(engine_model), min_answers(fewest_answers) {
    for (const Accelerator* engine : group) this->AddHolder(*engine);
  }

  Capacity TakeAll() {
    Capacity capacity;
    while (this->TakeFastest(capacity)) {
    }
    if (capacity.answers > 0) capacity.token_millis /= capacity.answers;
    return capacity;
  }

 private:
  double AnswerTokens() const {
    return this->model.mean_prompt_tokens + this->model.mean_answer_tokens;
  }

  void AddHolder(const Accelerator& engine) {
    const AcceleratorKind* kind = this->model.FindKind(engine.kind);
    const pipeline::LayerRange held = engine.Serves();
    if (kind == nullptr || held.Count() == 0) return;
    if (held.end > this->model.layers) return;
    const auto [found, added] = this->group_of.try_emplace(
        std::pair(engine.kind, held), this->groups.size());
    if (added) this->AddGroup(*kind, held);
    this->groups[found->second].holders.push_back(
        {&engine, TokenLayerCapacity(this->model, *kind, held.Count())});
  }

  void AddGroup(const AcceleratorKind& kind, const pipeline::LayerRange& held) {
    const double layers = this->model.layers;
    const double step =
        this->model.step_millis +
        this->model.step_millis_per_answer * LayoutSettings().target_answers;
    HolderGroup group;
    group.layers = held;
    group.token_millis = step * kind.step_factor / layers;
    group.prompt_millis = this->model.mean_prompt_tokens /
                          this->model.prefill_tokens_per_milli *
                          kind.prefill_factor / layers;
    this->groups.push_back(std::move(group));
    this->boundaries.insert({held.begin, held.end});
  }

  /// Adds the fastest path that is left to \p capacity. Returns whether there
  /// was one.
  bool TakeFastest(Capacity& capacity) {
    const std::vector<Label> labels = this->Search();
    const Label& end = labels[this->model.layers];
    if (end.answer_millis == std::numeric_limits<double>::infinity()) {
      return false;
    }
    const double answers = this->Fill(labels, capacity.engines);
    capacity.answers += answers;
    capacity.answers_per_second +=
        answers * kMillisPerSecond / end.answer_millis;
    capacity.token_millis += answers * end.token_millis;
    return true;
  }

  std::vector<Label> Search() const {
    std::vector<Label> labels(this->model.layers + 1);
    labels[0].answer_millis = 0;
    for (const std::uint32_t begin : this->boundaries) {
      if (begin >= this->model.layers) break;
      if (labels[begin].answer_millis ==
          std::numeric_limits<double>::infinity()) {
        continue;
      }
      for (std::size_t i = 0; i < this->groups.size(); ++i) {
        this->Extend(i, begin, labels);
      }
    }
    return labels;
  }

  void Extend(std::size_t index, std::uint32_t begin,
              std::vector<Label>& labels) const {
    const HolderGroup& group = this->groups[index];
    const pipeline::LayerRange& held = group.layers;
    if (held.begin > begin || held.end <= begin) return;
    const Label from = labels[begin];
    const double least = this->min_answers * this->AnswerTokens();
    for (auto end = this->boundaries.upper_bound(begin);
         end != this->boundaries.end() && *end <= held.end; ++end) {
      const double layers = *end - begin;
      if (least * layers > group.holders[group.freest].free) break;
      const double token = kHopMillis + group.token_millis * layers;
      const double answer = from.answer_millis +
                            token * this->model.mean_answer_tokens +
                            group.prompt_millis * layers;
      Label& best = labels[*end];
      if (answer >= best.answer_millis) continue;
      best = {answer, from.token_millis + token, index, begin};
    }
  }

  /// Fills the path that \p labels describe and adds its engines to \p used.
  /// Returns how many answers it took.
  double Fill(const std::vector<Label>& labels, std::set<std::string>& used) {
    std::map<std::size_t, double> layers_by_group;
    for (std::uint32_t end = this->model.layers; end > 0;) {
      const Label& label = labels[end];
      layers_by_group[label.group] += end - label.begin;
      end = label.begin;
    }
    double answers = std::numeric_limits<double>::infinity();
    for (const auto& [index, layers] : layers_by_group) {
      const HolderGroup& group = this->groups[index];
      answers = std::min(answers, group.holders[group.freest].free /
                                      (layers * this->AnswerTokens()));
    }
    for (const auto& [index, layers] : layers_by_group) {
      HolderGroup& group = this->groups[index];
      Holder& holder = group.holders[group.freest];
      holder.free -= answers * layers * this->AnswerTokens();
      used.insert(holder.engine->id);
      const auto freest =
          std::max_element(group.holders.begin(), group.holders.end(),
                           [](const Holder& left, const Holder& right) {
                             return left.free < right.free;
                           });
      group.freest = static_cast<std::size_t>(freest - group.holders.begin());
    }
    return answers;
  }

  const EngineModel& model;
  double min_answers;
  std::vector<HolderGroup> groups;
  std::map<std::pair<std::string, pipeline::LayerRange>, std::size_t> group_of;
  std::set<std::uint32_t> boundaries = {0};
};

}  // namespace

Capacity& Capacity::operator+=(const Capacity& other) {
  const double sum = this->answers + other.answers;
  if (sum <= 0) return *this;
  this->token_millis = (this->token_millis * this->answers +
                        other.token_millis * other.answers) /
                       sum;
  this->answers = sum;
  this->answers_per_second += other.answers_per_second;
  this->engines.insert(other.engines.begin(), other.engines.end());
  return *this;
}

Capacity EstimateCapacity(const EngineModel& model,
                          const std::vector<Accelerator>& fleet,
                          double min_answers) {
  Group all;
  std::map<std::string, Group> domains;
  for (const Accelerator& engine : fleet) {
    all.push_back(&engine);
    domains[engine.failure_domain].push_back(&engine);
  }
  Capacity sum;
  for (const auto& [domain, members] : domains) {
    sum += PathTaker(model, members, min_answers).TakeAll();
  }
  if (sum.answers > 0) return sum;
  return PathTaker(model, all, min_answers).TakeAll();
}

}  // namespace toucanwharf::placement
