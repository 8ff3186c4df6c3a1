#ifndef TOUCANWHARF_PLACEMENT_PATH_FINDER_H_
#define TOUCANWHARF_PLACEMENT_PATH_FINDER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "toucanwharf/pipeline/plan.h"
#include "toucanwharf/placement/engine_model.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::placement {

/// An engine and its known load.
struct Engine {
  std::string id;
  std::string address;
  std::string failure_domain;
  std::string kind;
  /// Layers loaded now; empty for none.
  pipeline::LayerRange layers;
  /// Slowdown factor relative to its kind; 1 is nominal.
  double slowdown = 1;
  /// Answers in flight through it.
  double answers = 0;
  /// Tokens of those answers, times the layers that they run here.
  double token_layers = 0;
  /// Answers in flight with this engine as their first stage.
  double first_stage_answers = 0;
  /// Whether a path may begin here now. An engine that states a limit takes
  /// only so many requests a second, which each path costs its first engine.
  bool may_begin = true;

  friend bool operator==(const Engine&, const Engine&) = default;
};

/// Returns the capacity, in tokens times layers, of an engine of \p kind that
/// holds \p held layers; 0 if the layers don't fit.
double TokenLayerCapacity(const EngineModel& model, const AcceleratorKind& kind,
                          std::uint32_t held);

/// One answer that needs a path.
struct PathQuery {
  /// Failure domain of the requesting router.
  std::string failure_domain;
  double prompt_tokens = 0;
  double output_tokens = 1;
  /// Ids of engines that must not be used.
  std::set<std::string> excluded;
  /// For an answer in flight that is rerouted around a dead engine: its path so
  /// far. The first stage stays as it is; other stages that stay retain their
  /// KV cache of the answer, new ones have to read it. Its engines' loads
  /// include it.
  std::vector<pipeline::Stage> current;
};

struct Path {
  /// An exact cover of the layers, in order.
  std::vector<pipeline::Stage> stages;
  /// Expected time between two tokens, and to the first one, in milliseconds.
  double token_millis = 0;
  double first_token_millis = 0;

  friend bool operator==(const Path&, const Path&) = default;
};

/// Thresholds of the choice.
struct PathSettings {
  /// Fraction of an engine's capacity that may be promised. An answer counts
  /// with its expected final number of tokens, and holds about half of its
  /// output on average, so slightly more than the capacity can be promised
  /// before an engine has to put one back.
  double capacity_share = 1.05;
  /// Cost added per token at each crossing of a failure domain, beside the
  /// delay: the link between two domains is shared by all answers, and its use
  /// is billed.
  double crossing_millis = 2;
  /// Engines that hold the first layer and are considered, drawn at random; 0
  /// for all. See kEntryChoicesInLargeFleet.
  std::size_t entry_choices = 0;
  /// Whether utilization adds to the cost of an engine; otherwise the fastest
  /// engines are filled completely.
  bool price_congestion = true;
  /// Fraction by which costs vary up and down between choices. Several routers
  /// see the same lagging loads, and would all take the same path until the
  /// next report.
  double jitter = 0.1;
};

/// Entry engines that a router of a large fleet considers.
///
/// Load: 86 routers see the loads of all others up to 0.75 s late, in which
/// time 200 answers begin. If each takes the best path, all of them fill the
/// same one beyond its capacity, and then the next. Two random choices spread
/// answers nearly as evenly as full knowledge would, and a path that fills up
/// loses only its share of the draws. In small fleets each answer is announced
/// before the next one begins, so all entry engines are considered.
inline constexpr std::size_t kEntryChoicesInLargeFleet = 2;

/// Entry engines considered for an answer that resumes on another path after it
/// lost an engine.
///
/// Load: fifty answers stop at the same moment and have to be read again, and
/// no router knows yet where the others went. On the best path the last of them
/// would be read when its caller's pause is over; drawn at random they share
/// all paths.
inline constexpr std::size_t kEntryChoicesForResumed = 1;

/// Fraction of an engine's capacity that may be promised in a large fleet, in
/// place of PathSettings::capacity_share. Known loads there are up to a second
/// old either way, and engines that refuse for lack of memory cost a caller
/// less than idle capacity does.
inline constexpr double kCapacityShareInLargeFleet = 1.1;

/// Why no path was found.
enum class NoPathReason {
  kNone,
  /// No engine holds some layer.
  kMissingLayers,
  /// Paths exist, but none has free capacity now.
  kNoCapacity,
};

struct PathChoice {
  std::optional<Path> path;
  NoPathReason no_path_reason = NoPathReason::kNone;
};

/// Finds the path with free capacity that is expected to finish the answer
/// soonest.
///
/// A path stays inside one failure domain as long as one domain holds all
/// layers, also if none has capacity. Guards against a burst that fills the
/// covers of all domains: if answers then ran along parts of two domains, each
/// prompt would send 19 MB over the link that all share; some 40 prompts a
/// second saturate it, every answer on it stalls and retains its capacity, and
/// less is served than before the burst.
/// A path is a shortest path through a graph whose nodes are layer boundaries
/// in a failure domain and whose edges are parts of engines; it takes some
/// hundred steps for forty engines.
/// Thread safety: safe with a generator of the caller's own.
PathChoice FindPath(const EngineModel& model,
                    const std::vector<Engine>& engines, const PathQuery& query,
                    const PathSettings& settings, Random& random);

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_PLACEMENT_PATH_FINDER_H_
