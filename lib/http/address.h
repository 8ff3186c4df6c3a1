#ifndef TOUCANWHARF_LIB_HTTP_ADDRESS_H_
#define TOUCANWHARF_LIB_HTTP_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string>

namespace toucanwharf::http {

/// Parses "IP:PORT" (IPv4); returns nothing if \p text is malformed.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    const std::string& text);

/// Opens \p socket and binds it to the address of \p source. The port is
/// chosen when the socket connects, so that it need only be unique for each
/// peer.
boost::system::error_code BindSource(
    boost::asio::ip::tcp::socket& socket,
    const boost::asio::ip::tcp::endpoint& source);

/// Makes the kernel close connections to unresponsive peers: it probes idle
/// connections and limits how long bytes may stay unacknowledged.
void EnableKeepAlive(boost::asio::ip::tcp::socket& socket);

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_LIB_HTTP_ADDRESS_H_
