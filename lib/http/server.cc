#include "toucanwharf/http/server.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cstdio>
#include <optional>
#include <utility>
#include <vector>

#include "address.h"
#include "connection.h"
#include "loop_state.h"
#include "server_state.h"

namespace toucanwharf::http {
namespace {

using boost::asio::ip::tcp;
using Code = boost::system::error_code;

/// Pending connections that the kernel queues.
constexpr int kBacklog = 1024;
/// Receive buffer of each connection, in bytes. What waits there counts as
/// memory of the machine, though not of the process.
constexpr int kReceiveBufferBytes = 16 * 1024;

/// Counts the descriptor of a new connection, for which another may be closed.
/// Returns nothing if there is none.
std::optional<resources::DescriptorLease> TakeDescriptor(
    const ServerOptions& options) {
  resources::Descriptors& descriptors = options.table->Shared().descriptors;
  if (!descriptors.HasRoom(options.use)) {
    options.table->FreeDescriptor(options.use);
  }
  if (!descriptors.Take(options.use)) return std::nullopt;
  return resources::DescriptorLease(descriptors, options.use);
}

/// Returns the connections that aren't closed, which may close while the result
/// is used.
std::vector<std::shared_ptr<Connection>> OpenConnections(
    const Server::State& state) {
  std::vector<std::shared_ptr<Connection>> open;
  for (const auto& [key, weak] : state.connections) {
    auto connection = weak.lock();
    if (connection && !connection->Closed()) {
      open.push_back(std::move(connection));
    }
  }
  return open;
}

void Accept(const std::shared_ptr<Server::State>& state);

void OnAccepted(const std::shared_ptr<Server::State>& state,
                tcp::socket socket) {
  auto descriptor = TakeDescriptor(state->options);
  if (!descriptor) {
    ++state->options.table->Shared().counters.refused_connections;
    return;
  }
  Code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  EnableKeepAlive(socket);
  std::make_shared<Connection>(state, std::move(socket), std::move(*descriptor))
      ->Start();
}

void Accept(const std::shared_ptr<Server::State>& state) {
  state->acceptor.async_accept([state](const Code& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      // Out of file descriptors: accepting again immediately would spin.
      constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
      std::fprintf(stderr, "accept failed: %s; raise the limit of open files\n",
                   error.message().c_str());
      state->loop.After(kAcceptRetryDelay, [state] { Accept(state); });
      return;
    }
    OnAccepted(state, std::move(socket));
    Accept(state);
  });
}

}  // namespace

std::shared_ptr<ConnectionTable> MakeConnectionTable(Loop& loop,
                                                     Resources& resources) {
  return std::make_shared<ConnectionTable>(loop, resources);
}

Result<std::unique_ptr<Server>> Server::Listen(Loop& loop,
                                               const std::string& address,
                                               Handler handler,
                                               ServerOptions options) {
  const auto endpoint = ParseAddress(address);
  if (!endpoint) return std::make_error_code(std::errc::invalid_argument);
  tcp::acceptor acceptor(loop.InternalState().context);
  Code error;
  acceptor.open(endpoint->protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) {
    // Connections inherit it.
    Code ignored;
    acceptor.set_option(tcp::acceptor::receive_buffer_size(kReceiveBufferBytes),
                        ignored);
    acceptor.bind(*endpoint, error);
  }
  if (!error) acceptor.listen(kBacklog, error);
  if (error) return std::error_code(error.value(), std::generic_category());
  if (!options.table) options.table = std::make_shared<ConnectionTable>(loop);
  auto state = std::make_shared<State>(loop, std::move(acceptor),
                                       std::move(handler), std::move(options));
  Accept(state);
  return std::unique_ptr<Server>(new Server(std::move(state)));
}

Server::Server(std::shared_ptr<State> inner) : state(std::move(inner)) {}

Server::~Server() {
  Code ignored;
  this->state->acceptor.close(ignored);
  for (const auto& connection : OpenConnections(*this->state)) {
    connection->Close();
  }
}

void Server::SetLimits(const ServerLimits& limits) {
  this->state->limits = limits;
}

void Server::CloseAfterResponses() {
  this->state->close_after_responses = true;
}

void Server::CloseUnused() {
  this->CloseAfterResponses();
  for (const auto& connection : OpenConnections(*this->state)) {
    connection->CloseUnused();
  }
}

std::size_t Server::Receiving() const {
  const auto open = OpenConnections(*this->state);
  return static_cast<std::size_t>(std::count_if(
      open.begin(), open.end(),
      [](const auto& connection) { return connection->Receives(); }));
}

std::size_t Server::Open() const {
  return OpenConnections(*this->state).size();
}

std::size_t Server::UnsentBytes() const {
  std::size_t total = 0;
  for (const auto& [key, weak] : this->state->connections) {
    if (const auto connection = weak.lock()) total += connection->UnsentBytes();
  }
  return total;
}

std::uint16_t Server::Port() const {
  return this->state->acceptor.local_endpoint().port();
}

}  // namespace toucanwharf::http
