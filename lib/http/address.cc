#include "address.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>
#include <charconv>

namespace toucanwharf::http {
namespace {

template <int kName>
using TcpOption =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, kName>;

/// A peer without an acknowledgement for this long is taken as gone. Callers
/// leave after two seconds of silence, so more would only hold work for them.
constexpr int kUserTimeoutMillis = 2500;
/// An idle connection is first probed after this many seconds, then each
/// second; two unanswered probes end it.
constexpr int kIdleSeconds = 2;
constexpr int kProbeSeconds = 1;
constexpr int kProbes = 2;

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
  boost::system::error_code bad;
  const auto ip = boost::asio::ip::make_address_v4(text.substr(0, colon), bad);
  if (bad) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

void KeepAlive(boost::asio::ip::tcp::socket& socket) {
  // A socket that can't take an option still works; the deadlines above it
  // then find the silence later.
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  socket.set_option(TcpOption<TCP_USER_TIMEOUT>(kUserTimeoutMillis), ignored);
  socket.set_option(TcpOption<TCP_KEEPIDLE>(kIdleSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPINTVL>(kProbeSeconds), ignored);
  socket.set_option(TcpOption<TCP_KEEPCNT>(kProbes), ignored);
}

}  // namespace toucanwharf::http
