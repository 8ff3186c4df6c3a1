#ifndef TOUCANWHARF_LIB_HTTP_CONNECTION_TABLE_H_
#define TOUCANWHARF_LIB_HTTP_CONNECTION_TABLE_H_

#include <array>
#include <cstddef>
#include <list>
#include <memory>
#include <optional>

#include "toucanwharf/http/loop.h"
#include "toucanwharf/http/resources.h"

namespace toucanwharf::http {

class Connection;

/// What a server's connection is doing.
enum class Phase {
  /// No byte of a request has come.
  kIdle,
  /// A request is being received, or a refused one discarded.
  kReceiving,
  /// A request is being answered.
  kAnswering,
};

/// The connections of all servers of a process that share its resources, in the
/// order in which they entered their phase; ends some when room runs out.
/// Thread safety: none; for the loop's thread.
class ConnectionTable {
 public:
  using List = std::list<Connection*>;

  /// Precondition: both outlive the table.
  ConnectionTable(Loop& event_loop, Resources& shared)
      : loop(event_loop), resources(shared) {}
  /// A table with resources of its own, which have no limits.
  explicit ConnectionTable(Loop& event_loop)
      : loop(event_loop),
        own(std::make_unique<Resources>()),
        resources(*this->own) {}

  /// Adds \p connection, which is idle; returns its place.
  List::iterator Add(Connection* connection, resources::ConnectionUse use);
  void Remove(List::iterator place, resources::ConnectionUse use, Phase phase);
  /// Moves a connection to the end of the list of another phase.
  void Move(List::iterator place, resources::ConnectionUse use, Phase from,
            Phase to);

  /// Ends those that have held most memory for longest, if more is in use than
  /// \p limit, in bytes.
  void FreeBuffers(std::size_t limit);
  /// Ends the connection of \p use that has been idle for longest, or, if none
  /// is idle, the one whose request has been incomplete for longest. Returns
  /// whether there was one.
  bool FreeDescriptor(resources::ConnectionUse use);

  Resources& Shared() { return this->resources; }

 private:
  static constexpr std::size_t kUses = 3;
  static constexpr std::size_t kPhases = 3;

  List& ListOf(resources::ConnectionUse use, Phase phase) {
    return this->lists.at(static_cast<std::size_t>(use))
        .at(static_cast<std::size_t>(phase));
  }

  Loop& loop;
  std::unique_ptr<Resources> own;
  Resources& resources;
  /// Whether connections are being ended, which may need room themselves.
  bool freeing = false;
  /// When the connections were last looked at without freeing enough.
  std::optional<TimePoint> failed_at;
  /// By use and phase.
  std::array<std::array<List, kPhases>, kUses> lists;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_LIB_HTTP_CONNECTION_TABLE_H_
