#ifndef TOUCANWHARF_REVIEW_STANDINS_HTTP_H_
#define TOUCANWHARF_REVIEW_STANDINS_HTTP_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

/// A small blocking HTTP/1.1 server and client for the review's stand-ins: a
/// thread for each connection, loopback addresses only.
namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;

  /// Returns the value of the header \p name, or "".
  std::string Header(const std::string& name) const;
  /// Returns the target without its query.
  std::string Path() const;
};

/// How the caller saw the end of an answer.
enum class End {
  /// The framing says that the answer is whole.
  kWhole,
  /// The channel ended before the answer did.
  kBroken,
  /// There was no answer at all.
  kNone,
};

struct Answer {
  int status = 0;
  Headers headers;
  std::string body;
  End end = End::kNone;
  /// Bytes that came on the channel after the whole answer.
  std::size_t surplus = 0;

  std::string Header(const std::string& name) const;
};

/// Returns milliseconds of the steady clock.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);

/// Opens a listening socket on \p address (IP:PORT). Returns -1 on failure.
int Listen(const std::string& address);
/// Returns a port that is free on \p ip for TCP and UDP.
int FreePort(const std::string& ip);

/// One connection of a server, to answer one request.
class Reply {
 public:
  explicit Reply(int connection) : fd(connection) {}
  /// Sends \p bytes. Returns false if the connection is gone.
  bool Send(const std::string& bytes);
  /// Sends a whole answer with a length.
  bool Respond(int status, const Headers& headers, const std::string& body);
  /// The connection is to be closed after this answer.
  bool close = false;

 private:
  int fd;
};

/// Serves \p listener for ever, each connection in a thread.
void Serve(int listener, std::function<void(const Request&, Reply&)> handler);

struct CallOptions {
  std::int64_t timeout_ms = 10000;
  /// Called with the bytes of the body received so far.
  std::function<void(std::size_t)> on_progress;
  /// Bytes a second that the caller reads, 0 for no limit.
  std::size_t read_per_s = 0;
  /// Keep reading for this long after the whole answer.
  std::int64_t listen_on_ms = 0;
};

/// Sends \p request to \p address on a new channel and reads the answer.
Answer Call(const std::string& address, const Request& request,
            const CallOptions& options = {});

}  // namespace review

#endif  // TOUCANWHARF_REVIEW_STANDINS_HTTP_H_
