#ifndef REVIEW_STANDINS_2_HTTP_H_
#define REVIEW_STANDINS_2_HTTP_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// A small HTTP/1.1 server and client on blocking sockets, for the stand-ins of
/// the review. They share no code with the software under review.
namespace review {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Returns the first value of \p name, ignoring letter case; empty if none.
std::string HeaderOf(const HeaderList& headers, const std::string& name);

struct Request {
  std::string method;
  std::string target;
  HeaderList headers;
  std::string body;
};

/// The sending side of one accepted connection.
class Peer {
 public:
  explicit Peer(int socket) : fd(socket) {}
  /// Sends all of \p bytes. Returns false if the connection broke.
  bool Send(const std::string& bytes);
  /// Sends a whole response with a length.
  bool Respond(int status, const HeaderList& headers, const std::string& body);

 private:
  int fd;
};

/// Returns the text of a response head, with its blank line.
std::string HeadText(int status, const HeaderList& headers);

/// Listens on one loopback address, with one thread for each connection.
class Server {
 public:
  /// Handles one request. Returns whether the connection stays open.
  using Handler = std::function<bool(const Request&, Peer&)>;

  /// Throws std::runtime_error if the address is in use.
  Server(const std::string& ip, int port, Handler request_handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Stops listening and resets all connections, as the end of the process
  /// would. May be called by a handler.
  void Crash();

 private:
  void Accept();
  void Serve(int fd);

  Handler handler;
  std::atomic<int> listener{-1};
  std::atomic<int> running{0};
  std::mutex mutex;
  std::set<int> open;
  std::thread acceptor;
};

/// What a caller got.
struct Reply {
  /// 0 if there was no response head.
  int status = 0;
  HeaderList headers;
  std::string body;
  /// Whether the body ended as the protocol demands.
  bool complete = false;
};

struct CallOptions {
  int timeout_ms = 5000;
  /// Bytes read per second; 0 for as fast as they come.
  std::size_t bytes_per_second = 0;
};

/// A connection of a caller that stays open for many requests.
/// Thread safety: none.
class Channel {
 public:
  Channel(const std::string& ip, int port);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// Sends \p bytes as they are.
  bool Send(const std::string& bytes);
  /// Reads the answer to what was sent.
  Reply Receive(const CallOptions& options = {});

 private:
  int fd;
};

/// Returns \p request as it is sent. A request of method POST states a length.
std::string TextOf(const Request& request);

/// Sends \p request to \p ip and \p port on a new connection.
Reply Call(const std::string& ip, int port, const Request& request,
           const CallOptions& options = {});

/// Returns a port that is free on 127.0.0.1.
int FreePort();

}  // namespace review

#endif  // REVIEW_STANDINS_2_HTTP_H_
