#include "test/soak/kept_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cctype>
#include <cstdint>
#include <limits>
#include <string_view>

namespace toucanwharf::soak {
namespace {

namespace beast_http = boost::beast::http;
using Parser = beast_http::response_parser<beast_http::string_body>;

/// Longer than any deadline of a request.
constexpr timeval kPatience{10, 0};

process_test::Answer AnswerOf(const Parser& parser) {
  process_test::Answer answer;
  if (!parser.is_header_done()) return answer;
  answer.status = parser.get().result_int();
  answer.complete = parser.is_done();
  answer.body = parser.get().body();
  for (const auto& field : parser.get()) {
    std::string name = field.name_string().to_string();
    for (char& c : name) {
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    answer.headers[name] = field.value().to_string();
  }
  return answer;
}

}  // namespace

KeptConnection::KeptConnection(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &kPatience,
             sizeof(kPatience));
  setsockopt(this->socket, SOL_SOCKET, SO_SNDTIMEO, &kPatience,
             sizeof(kPatience));
  const auto* generic = reinterpret_cast<const sockaddr*>(&to);
  if (connect(this->socket, generic, sizeof(to)) != 0) this->Close();
}

KeptConnection::~KeptConnection() { this->Close(); }

void KeptConnection::Close() {
  if (this->socket >= 0) close(this->socket);
  this->socket = -1;
}

KeptAnswer KeptConnection::Send(const std::string& request) {
  KeptAnswer result;
  Parser parser;
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  const ssize_t sent =
      send(this->socket, request.data(), request.size(), MSG_NOSIGNAL);
  bool open = sent == static_cast<ssize_t>(request.size());
  std::string unread;
  boost::beast::error_code error;
  while (open && !error && !parser.is_done()) {
    std::array<char, 16384> bytes;
    const ssize_t count = recv(this->socket, bytes.data(), bytes.size(), 0);
    open = count > 0;
    if (count == 0 && parser.got_some()) {
      // A part of an answer is no whole one, and none of its bytes are foreign.
      boost::beast::error_code partial;
      parser.put_eof(partial);
    }
    if (!open) break;
    unread.append(bytes.data(), static_cast<std::size_t>(count));
    while (!unread.empty() && !error && !parser.is_done()) {
      const std::size_t used = parser.put(boost::asio::buffer(unread), error);
      unread.erase(0, used);
    }
    if (error == beast_http::error::need_more) error = {};
  }
  result.answer = AnswerOf(parser);
  result.has_more = error || (parser.is_done() && !unread.empty());
  if (!open || error) this->Close();
  result.closed = !this->IsOpen();
  return result;
}

}  // namespace toucanwharf::soak
