#ifndef TOUCANWHARF_TRANSPORT_CONNECTION_REGISTRY_H_
#define TOUCANWHARF_TRANSPORT_CONNECTION_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <vector>

#include "toucanwharf/resources/account.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::transport {

/// How much the connections of a process may use together.
struct ConnectionLimits {
  /// Memory of requests that are received, and of answers that wait to be read,
  /// in bytes.
  std::size_t buffer_bytes = resources::Account::kUnlimited;
  std::size_t connections = resources::Account::kUnlimited;

  friend bool operator==(const ConnectionLimits&,
                         const ConnectionLimits&) = default;
};

/// What a connection is doing.
enum class ConnectionPhase {
  /// No request has come.
  kIdle,
  /// A request is being received, or its answer waits for a caller that reads
  /// none of it.
  kWaiting,
  /// A request is being answered.
  kAnswering,
};

/// The open connections of a process, what they hold, and which of them are
/// closed when that is too much. A connection is closed by shutting its socket
/// down, so that the thread that serves it ends it.
/// Thread safety: safe.
class ConnectionRegistry {
 public:
  using Id = std::uint64_t;

  explicit ConnectionRegistry(const ConnectionLimits& chosen)
      : limits(chosen), buffers(chosen.buffer_bytes) {}

  /// Adds an idle connection. If there are too many, closes the one that has
  /// been idle for longest, or else waits for longest.
  Id Open(int socket, TimePoint now);
  /// Removes a connection. Precondition: its socket is still open.
  void Close(Id id);
  /// Records that a connection is in \p phase; it has been for as long as it
  /// was recorded without another between.
  void Enter(Id id, ConnectionPhase phase, TimePoint now);
  /// Records that the caller of a connection has read of its answer.
  void Progress(Id id, TimePoint now);
  /// Records how many \p bytes a connection holds. If all together hold too
  /// many, closes those that have waited with most for longest. Returns false
  /// if there is no room for what this one holds.
  bool Hold(Id id, std::size_t bytes, TimePoint now);

  std::size_t BufferedBytes() const { return this->buffers.Used(); }
  /// Returns how many connections were closed for lack of room.
  std::uint64_t Evicted() const;

 private:
  struct Entry {
    int socket = -1;
    ConnectionPhase phase = ConnectionPhase::kIdle;
    TimePoint since;
    bool evicted = false;
    resources::Lease lease;
  };

  void Evict(Entry& entry);
  /// Returns how many bytes are held, but for those of connections that are
  /// being closed.
  std::size_t HeldBytes() const;
  void FreeBuffers(std::size_t needed, TimePoint now);

  ConnectionLimits limits;
  resources::Account buffers;
  /// Guards all members below.
  mutable std::mutex mutex;
  std::map<Id, Entry> entries;
  /// Connections that are being closed, and what they hold until then.
  std::size_t closing = 0;
  std::size_t closing_bytes = 0;
  Id last_id = 0;
  std::uint64_t evicted = 0;
};

}  // namespace toucanwharf::transport

#endif  // TOUCANWHARF_TRANSPORT_CONNECTION_REGISTRY_H_
