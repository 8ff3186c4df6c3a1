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

/// An engine and what is known of its load.
struct Engine {
  std::string id;
  std::string address;
  std::string failure_domain;
  std::string kind;
  /// Layers loaded now; empty for none.
  pipeline::LayerRange layers;
  /// How many times slower than its kind it runs; 1 for as it should.
  double slowdown = 1;
  /// Answers under way through it.
  double answers = 0;
  /// Tokens that those answers hold, times the layers that they run here.
  double token_layers = 0;
  /// Answers under way of which it is the first of the path.
  double first_stage_answers = 0;

  friend bool operator==(const Engine&, const Engine&) = default;
};

/// Returns the tokens times layers that an engine of \p kind has room for
/// beside \p held layers; 0 when the layers don't fit.
double TokenLayerCapacity(const EngineModel& model, const AcceleratorKind& kind,
                          std::uint32_t held);

/// One answer that needs a path.
struct PathQuery {
  /// Failure domain of the router that asks.
  std::string failure_domain;
  double prompt_tokens = 0;
  double output_tokens = 1;
  /// Ids of engines that must not be used.
  std::set<std::string> excluded;
  /// For an answer under way that goes around a dead engine: its path so far.
  /// The first stage stays as it is; other stages that stay keep what they hold
  /// of the answer, new ones have to read it. Its engines' loads count it.
  std::vector<pipeline::Stage> current;
};

struct Path {
  /// An exact cover of the layers, in order.
  std::vector<pipeline::Stage> stages;
  /// Expected time between two tokens, and to the first one.
  double token_millis = 0;
  double first_token_millis = 0;

  friend bool operator==(const Path&, const Path&) = default;
};

/// Thresholds of the choice, with the reason of each.
struct PathSettings {
  /// Part of an engine's room for answers that may be promised. An answer is
  /// counted with all the tokens that it should come to, and holds about half
  /// of its output on average, so a little more than the room can be promised
  /// before an engine has to put one back.
  double capacity_share = 1.05;
  /// Added for each token at each crossing of a failure domain, beside the
  /// delay: the link between two is shared by all answers, and its use is paid
  /// for.
  double crossing_millis = 2;
  /// Of the engines that hold the first layer, only so many drawn at random are
  /// looked at; all of them for 0. See kEntryChoicesInLargeFleet.
  std::size_t entry_choices = 0;
  /// Whether an engine whose room is taken counts as slower; otherwise the
  /// fastest engines are filled to the brim.
  bool price_congestion = true;
  /// Costs vary by this part up and down between choices. Several routers see
  /// the same lagging loads, and would all take the same path until the next
  /// report.
  double jitter = 0.1;
};

/// How many first engines a router of a large fleet looks at.
///
/// Load that it answers: 86 routers see the loads of all others up to 0.75 s
/// late, in which time 200 answers begin. If each takes the path that looks
/// best, all of them fill the same one past its room, and then the next. Two
/// choices at random spread answers nearly as evenly as full knowledge would,
/// and leave a path that fills up its share of the draws only. Small fleets
/// hear of each answer sooner than the next one begins, and look at all.
inline constexpr std::size_t kEntryChoicesInLargeFleet = 2;

/// How many first engines are looked at for an answer that goes on elsewhere
/// after it lost an engine.
///
/// Load that it answers: fifty answers stop at the same moment and have to be
/// read anew, and nobody has heard yet where the others went. On the path that
/// looks best the last of them would be read when its caller's pause is over;
/// drawn at random they share all paths.
inline constexpr std::size_t kEntryChoicesForResumed = 1;

/// Part of an engine's room that may be promised in a large fleet, in place of
/// PathSettings::capacity_share. What is known of loads there is up to a second
/// old either way, and engines that refuse for want of memory cost a caller
/// less than room that lies idle.
inline constexpr double kCapacityShareInLargeFleet = 1.1;

/// Why there is no path.
enum class NoPathReason {
  kNone,
  /// No engine holds some layer.
  kMissingLayers,
  /// Paths exist, but none has room now.
  kNoCapacity,
};

struct PathChoice {
  std::optional<Path> path;
  NoPathReason no_path_reason = NoPathReason::kNone;
};

/// Finds the path whose answer should be finished soonest and that has room.
///
/// A path stays inside one failure domain as long as one of them holds all
/// layers, also when none has room. Load that this answers: a burst fills the
/// covers of all domains. If answers then go on along parts of two domains,
/// each prompt sends 19 MB over the link that all share; some 40 prompts a
/// second fill it, every answer on it stands still and keeps its room, and less
/// is served than before the burst.
/// A path is a shortest way through a graph whose nodes are layer boundaries
/// in a failure domain and whose edges are parts of engines; it costs some
/// hundred steps for forty engines.
/// Thread safety: safe with a generator of the caller's own.
PathChoice FindPath(const EngineModel& model,
                    const std::vector<Engine>& engines, const PathQuery& query,
                    const PathSettings& settings, Random& random);

}  // namespace toucanwharf::placement

#endif  // TOUCANWHARF_PLACEMENT_PATH_FINDER_H_
