#include "address.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>
#include <charconv>

#include "toucanwharf/http/address_text.h"

namespace toucanwharf::http {
namespace {

template <int kName>
using TcpOption =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, kName>;

/// A connection whose data stays unacknowledged for this long is closed.
/// Callers disconnect after two seconds of inactivity; a longer timeout would
/// only keep work running for callers that have disconnected.
constexpr int kUserTimeoutMillis = 2500;
/// TCP keepalive: an idle connection is first probed after this many seconds,
/// then each second; two unanswered probes close it.
constexpr int kKeepaliveIdleSeconds = 2;
constexpr int kKeepaliveProbeSeconds = 1;
constexpr int kMaxKeepaliveProbes = 2;

}  // namespace

std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  unsigned port = 0;
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, port);
  if (error != std::errc() || end != last || port > 65535) return std::nullopt;
  boost::system::error_code parse_error;
  const auto ip =
      boost::asio::ip::make_address_v4(text.substr(0, colon), parse_error);
  if (parse_error) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

bool IsAddress(const std::string& text) {
  const auto parsed = ParseAddress(text);
  return parsed && parsed->port() != 0;
}

boost::system::error_code BindSource(
    boost::asio::ip::tcp::socket& socket,
    const boost::asio::ip::tcp::endpoint& source) {
  using NoPort =
      boost::asio::detail::socket_option::boolean<IPPROTO_IP,
                                                  IP_BIND_ADDRESS_NO_PORT>;
  boost::system::error_code error;
  socket.open(boost::asio::ip::tcp::v4(), error);
  if (!error) socket.set_option(NoPort(true), error);
  if (!error) socket.bind(source, error);
  return error;
}

void EnableKeepAlive(boost::asio::ip::tcp::socket& socket) {
  // A socket without these options still works; the timeouts of its users then
  // detect an unresponsive peer later.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpOption<TCP_USER_TIMEOUT>(kUserTimeoutMillis), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(kKeepaliveIdleSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kKeepaliveProbeSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(kMaxKeepaliveProbes), ignored);
}

}  // namespace toucanwharf::http
