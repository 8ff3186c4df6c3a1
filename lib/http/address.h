#ifndef TOUCANWHARF_LIB_HTTP_ADDRESS_H_
#define TOUCANWHARF_LIB_HTTP_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string>

namespace toucanwharf::http {

/// Returns the endpoint that "IP:PORT" names, or nothing.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    const std::string& text);

/// Makes the kernel notice a peer that fell silent: idle connections are
/// probed, and unacknowledged bytes end the connection.
void KeepAlive(boost::asio::ip::tcp::socket& socket);

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_LIB_HTTP_ADDRESS_H_
