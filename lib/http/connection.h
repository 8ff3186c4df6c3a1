#ifndef TOUCANWHARF_LIB_HTTP_CONNECTION_H_
#define TOUCANWHARF_LIB_HTTP_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "bulk_turns.h"
#include "connection_table.h"
#include "parser.h"
#include "toucanwharf/http/server.h"
#include "toucanwharf/resources/account.h"
#include "toucanwharf/resources/descriptors.h"

namespace toucanwharf::http {

/// One caller's connection: reads one request at a time, and detects that the
/// caller closes it while the request is being answered.
/// Thread safety: none; for the loop's thread.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// \p counted is the lease of the connection's descriptor.
  Connection(std::shared_ptr<Server::State> server_state,
             boost::asio::ip::tcp::socket accepted,
             resources::DescriptorLease counted);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Start();
  void Close();
  /// Refuses the request that is being received, or closes the connection if
  /// there is none. One whose request is under way is left.
  void CloseUnused();
  /// Returns whether a request is being received.
  bool Receives() const;

  /// Send the response to the current request; see Exchange.
  void Respond(const ResponseHead& head, std::string_view body);
  void Begin(const ResponseHead& head);
  void Write(std::string_view bytes);
  void End();

  bool Closed() const { return this->closed; }
  std::size_t UnsentBytes() const { return this->unsent.size(); }
  void SetOnDisconnect(std::function<void()> callback) {
    this->on_disconnect = std::move(callback);
  }

  /// Returns the memory that the connection holds, in bytes.
  std::size_t HeldBytes() const { return this->lease.Amount(); }
  /// Returns for how long the connection has held memory that Evict frees
  /// without breaking off what a caller waits for; nothing if it holds none.
  std::optional<Duration> EvictableFor(TimePoint now) const;
  /// Refuses the request that is being received, or closes a connection whose
  /// caller doesn't read.
  void Evict();

 private:
  class ConnectionExchange;
  using Code = boost::system::error_code;
  using Socket = boost::asio::ip::tcp::socket;

  bool NeedsCloseHeader(const ResponseHead& head);
  /// Sets whether the end of the connection is a reset. An orderly one would
  /// end an answer that has neither a length nor chunks, whatever is missing;
  /// so until all of it was sent, the kernel resets the connection even of a
  /// process that is killed.
  void ResetAtClose(bool resets);
  void PrepareNextRequest();
  void CloseAfter(Duration delay);
  void SetTimer(Duration delay, const std::function<void()>& action);
  void Enter(Phase next);

  void Read();
  void OnReadable(const Code& error);
  /// Reads what is there, in \p most reads.
  void ReadSome(int most);
  void OnBytes(std::string_view bytes);
  void Discard(std::size_t size);
  void Parse();
  void OnHead();
  /// Checks the request whose head is complete and whose body isn't. Returns
  /// whether it was answered.
  bool AnsweredByHead();
  void AppendBody(std::string_view bytes);
  void Reject(int status, const char* retry_after = nullptr);
  void Dispatch();
  void OnResponseEnd();
  void ParseNextRequest();
  void Linger();
  /// Ends the connection soon after the last byte was sent; until then, only a
  /// caller that takes nothing for the idle timeout is given up.
  void OnLastAnswerProgress();
  /// Counts the timers of a connection that has no request from the last byte
  /// sent.
  void OnProgress();
  /// Writes what the socket accepts now, and the rest when it is writable.
  void Send(std::string_view bytes);
  void Drain();
  void OnWritable(const Code& error);
  /// A send fails inside a call of the handler, so the close is deferred until
  /// that call has returned.
  void CloseSoon();
  void NotifyDisconnect();

  /// Counts the memory that is held now.
  void CountBuffers();
  /// Makes room if too much memory is in use. If nothing else can be freed, the
  /// request that is being received is refused. Returns whether it may go on.
  bool KeepWithinBuffers();
  /// Makes room for an answer of which much waits; without room, it ends.
  void MakeRoomForAnswer();
  /// Returns whether the next request may be taken up.
  bool TakesRequests() const;
  /// Refuses the request that is being received, for which there is no memory.
  void RefuseForMemory();
  /// Closes the connection, for whose unread answer there is no memory.
  void CutAnswer();
  /// Frees the memory of the request that is being received.
  void DropRequest();

  std::shared_ptr<Server::State> server;
  std::shared_ptr<ConnectionTable> table;
  resources::DescriptorLease descriptor;
  resources::Lease lease;
  Socket socket;
  std::string input;
  std::string unsent;
  std::optional<MessageParser<true>> parser;
  BulkMeter meter;
  std::string body;
  /// Memory of the head of the request that is being received, in bytes.
  std::size_t head_bytes = 0;
  /// Bytes that came after the last response.
  std::uint64_t discarded_bytes = 0;
  ConnectionTable::List::iterator place;
  Phase phase = Phase::kIdle;
  /// When the phase began, and when the caller last read of its answer.
  TimePoint phase_began;
  TimePoint last_sent;
  TimerId timer = 0;
  std::function<void()> on_disconnect;
  bool reading = false;
  bool writing = false;
  bool answering = false;
  bool lingering = false;
  bool closed = false;
  /// Whether the connection is about to be closed, and sends nothing more.
  bool failed = false;
  bool head_received = false;
  bool keep_alive = true;
  bool close_after = false;
  bool chunked = false;
  /// Whether only the end of the connection ends the answer.
  bool ends_with_connection = false;
  bool head_only = false;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_LIB_HTTP_CONNECTION_H_
