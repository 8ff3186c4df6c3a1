#ifndef TOUCANWHARF_INSTANCE_MECHANISMS_H_
#define TOUCANWHARF_INSTANCE_MECHANISMS_H_

#include <string>
#include <vector>

namespace toucanwharf::instance {

/// Parts of the router's policy that can be switched off one by one, so that
/// what each is worth can be measured on a deployment. All are on in service.
struct Mechanisms {
  /// Engines of a path that paused are asked whether they live.
  bool engine_questions = true;
  /// An answer that lost an engine goes on elsewhere rather than changing its
  /// path.
  bool resume_first = true;
  /// Answers that go on elsewhere begin at engines drawn at random.
  bool spread_resumed = true;
  /// Requests of a start's first moment wait for the configuration.
  bool start_wait = true;
  /// Requests wait a moment for room.
  bool room_queue = true;
  /// Engines to spare hold copies of layers.
  bool standby_copies = true;
  /// Engines whose room is taken count as slower.
  bool crowding_price = true;
  /// An engine that refused gets nothing new for a while.
  bool refusal_pauses = true;
  /// Routers of a large fleet look at two random first engines only.
  bool entry_choices = true;
  /// Loads of peers that fell silent don't count.
  bool silent_peers = true;

  friend bool operator==(const Mechanisms&, const Mechanisms&) = default;
};

/// Mechanisms as switched, and what was wrong with the names.
struct ParsedMechanisms {
  Mechanisms mechanisms;
  /// One text for each name that isn't known, with the list of those that are.
  std::vector<std::string> problems;
};

/// Returns all mechanisms on but for those that \p off names, with commas
/// between. Thread safety: safe.
ParsedMechanisms WithoutMechanisms(const std::string& off);

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_MECHANISMS_H_
