#ifndef TOUCANWHARF_TEST_PROCESS_CROWD_H_
#define TOUCANWHARF_TEST_PROCESS_CROWD_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {

/// Framing of a body in chunks.
inline constexpr const char* kChunkedField = "Transfer-Encoding: chunked\r\n";

/// Returns the framing of a body of \p length bytes.
std::string LengthField(std::size_t length);

/// Returns the head of a request to the routers of a PlatformFleet, with an id
/// for \p index and the field of \p framing. Without a \p key it has none.
std::string RequestHead(std::size_t index, const std::string& framing,
                        const std::string& method_and_target = "POST /read/x",
                        const std::string& key = PlatformFleet::kKey);

/// Returns \p bytes in chunks of \p chunk_bytes, without the last chunk.
std::string Chunks(std::size_t bytes, std::size_t chunk_bytes);

/// What the clients of a crowd do.
enum class Misbehaviour {
  kNothing,
  kHeadWithoutEnd,
  kBodyShortOfItsEnd,
  kTinyChunks,
  kBodyOverTheLimit,
  kWholeBodyWithoutKey,
  kWholeBody,
  kReadsNothing,
};
inline constexpr std::size_t kMisbehaviours = 8;

/// Plays \p count clients that do \p what at \p address for \p duration, or
/// some seconds longer. \p body_bytes is the largest body that the router
/// takes.
void PlayCrowd(const std::string& address, Misbehaviour what, std::size_t count,
               std::size_t body_bytes, std::chrono::milliseconds duration);

/// Connections of clients that send what a test tells them, read nothing, and
/// stay open until the crowd is destroyed.
/// Thread safety: one thread.
class Crowd {
 public:
  /// Opens \p count connections to \p address ("IP:PORT"). One that is refused
  /// counts as closed.
  Crowd(const std::string& address, std::size_t count);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Sends on each connection the text that \p head returns for its index, and
  /// then \p body, on all connections in turn, a piece at a time, until all was
  /// sent or the peer takes no more: it has closed the connection, or nothing
  /// could be sent for two seconds. Returns a while later, when the peer has
  /// read what its kernel held.
  void Send(const std::function<std::string(std::size_t)>& head,
            const std::string& body);

 private:
  struct Connection {
    int socket = -1;
    std::string head;
    std::size_t sent = 0;
  };

  /// Sends one piece; returns whether any byte was sent.
  static bool SendPiece(Connection& connection, const std::string& body);

  std::vector<Connection> connections;
};

/// Watches memory and descriptors of a process while it lives.
/// Thread safety: one thread.
class ProcessWatch {
 public:
  explicit ProcessWatch(pid_t watched);
  ~ProcessWatch();
  ProcessWatch(const ProcessWatch&) = delete;
  ProcessWatch& operator=(const ProcessWatch&) = delete;

  /// Returns the largest resident memory that the process ever had, in bytes.
  std::size_t PeakResidentBytes() const;
  /// Returns the largest number of descriptors seen since the watch began.
  std::size_t PeakDescriptors() const { return this->peak_descriptors; }

 private:
  pid_t pid;
  std::atomic<bool> ends = false;
  std::atomic<std::size_t> peak_descriptors = 0;
  std::thread sampler;
};

}  // namespace toucanwharf::process_test

#endif  // TOUCANWHARF_TEST_PROCESS_CROWD_H_
