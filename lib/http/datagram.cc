#include "toucanwharf/http/datagram.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "address.h"
#include "loop_state.h"

namespace toucanwharf::http {
namespace {

using boost::asio::ip::udp;
using Code = boost::system::error_code;

/// Largest payload of a UDP datagram over IPv4.
constexpr std::size_t kMaxPayload = 65507;

std::optional<udp::endpoint> ParseUdp(const std::string& text) {
  const auto parsed = ParseAddress(text);
  if (!parsed) return std::nullopt;
  return udp::endpoint(parsed->address(), parsed->port());
}

}  // namespace

struct DatagramSocket::State {
  State(Loop& loop, Handler datagram_handler)
      : socket(loop.InternalState().context),
        handler(std::move(datagram_handler)) {}

  udp::socket socket;
  Handler handler;
  udp::endpoint sender;
  std::array<char, kMaxPayload> buffer{};
};

namespace {

void Receive(const std::shared_ptr<DatagramSocket::State>& state) {
  state->socket.async_receive_from(
      boost::asio::buffer(state->buffer), state->sender,
      [state](const Code& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) return;
        // Any other error concerns one datagram only.
        if (!error) {
          state->handler(absl::StrCat(state->sender.address().to_string(), ":",
                                      state->sender.port()),
                         std::string_view(state->buffer.data(), size));
        }
        Receive(state);
      });
}

}  // namespace

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::Bind(
    Loop& loop, const std::string& address, Handler handler) {
  const auto endpoint = ParseUdp(address);
  if (!endpoint) return std::make_error_code(std::errc::invalid_argument);
  auto state = std::make_shared<State>(loop, std::move(handler));
  Code error;
  state->socket.open(endpoint->protocol(), error);
  if (!error) state->socket.bind(*endpoint, error);
  if (!error) state->socket.non_blocking(true, error);
  if (error) return std::error_code(error.value(), std::generic_category());
  Receive(state);
  return std::unique_ptr<DatagramSocket>(new DatagramSocket(std::move(state)));
}

DatagramSocket::DatagramSocket(std::shared_ptr<State> inner)
    : state(std::move(inner)) {}

DatagramSocket::~DatagramSocket() {
  Code ignored;
  this->state->socket.close(ignored);
}

std::error_code DatagramSocket::Send(const std::string& address,
                                     std::string_view payload) {
  const auto endpoint = ParseUdp(address);
  if (!endpoint) return std::make_error_code(std::errc::invalid_argument);
  Code error;
  this->state->socket.send_to(
      boost::asio::buffer(payload.data(), payload.size()), *endpoint, 0, error);
  return {error.value(), std::generic_category()};
}

}  // namespace toucanwharf::http
