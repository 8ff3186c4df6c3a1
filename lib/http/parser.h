#ifndef TOUCANWHARF_LIB_HTTP_PARSER_H_
#define TOUCANWHARF_LIB_HTTP_PARSER_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/optional/optional.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "absl/strings/ascii.h"
#include "toucanwharf/http/message.h"

namespace toucanwharf::http {

/// Beast parser that keeps header fields as received and passes body bytes to
/// `on_body` without a copy.
///
/// Beast asserts that what follows the size of the last chunk arrives in pieces
/// that it can tell from each other, and some splits end the process there. So
/// the line before each chunk, and all that follows the last one, is handed to
/// it whole.
template <bool kIsRequest>
class MessageParser : public boost::beast::http::basic_parser<kIsRequest> {
 public:
  using Base = boost::beast::http::basic_parser<kIsRequest>;
  using Code = boost::system::error_code;
  using View = boost::beast::string_view;

  MessageParser() { this->eager(false); }

  Request request;
  /// Version of the request, as ten times the major number plus the minor one.
  int version = 0;
  ResponseHead head;
  std::function<void(std::string_view)> on_body;
  /// Whether Feed stops at the start of the body.
  bool stops_at_body = false;

  /// Parses the front of \p bytes and removes what it consumed. Returns false
  /// for a malformed message and sets \p error.
  bool Feed(std::string& bytes, Code& error) {
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !this->is_done()) {
      if (this->stops_at_body && this->is_header_done()) break;
      std::string_view rest = bytes;
      rest.remove_prefix(consumed);
      if (this->AtChunkLine() && !this->ChunkLineIsWhole(rest)) {
        if (rest.size() <= kMaxChunkLineBytes) break;
        error = boost::beast::http::error::header_limit;
        return false;
      }
      const std::size_t step =
          this->put(boost::asio::buffer(rest.data(), rest.size()), error);
      consumed += step;
      if (error == boost::beast::http::error::need_more) {
        error = {};
        break;
      }
      if (error) return false;
      if (step == 0) break;
    }
    bytes.erase(0, consumed);
    return true;
  }

 private:
  /// Most bytes of a chunk's extensions, or of these and all trailers.
  static constexpr std::size_t kMaxChunkLineBytes = 16UL * 1024;
  /// Most fields in the head of a response: short ones take a multiple of their
  /// bytes.
  static constexpr std::size_t kMaxResponseFields = 1000;
  static constexpr std::string_view kLineEnd = "\r\n";
  static constexpr std::string_view kMessageEnd = "\r\n\r\n";

  /// Returns whether the next byte belongs to the line before a chunk, or to
  /// the end of the chunk before that line.
  bool AtChunkLine() const {
    return this->is_header_done() && this->chunked() && this->chunk_left == 0;
  }

  /// Returns whether \p bytes, which start at such a line, hold all of it, and
  /// all that follows if it is the last; or can't become a valid one.
  bool ChunkLineIsWhole(std::string_view bytes) const {
    const std::size_t start = this->after_chunk ? kLineEnd.size() : 0;
    if (bytes.size() <= start) return false;
    const bool unended_chunk =
        bytes.size() >= 2 * kLineEnd.size() && !bytes.starts_with(kLineEnd);
    if (this->after_chunk && unended_chunk) return true;
    const std::size_t end = bytes.find('\r', start);
    if (end == std::string_view::npos || end + 1 == bytes.size()) return false;
    if (bytes[end + 1] != '\n') return true;
    const std::size_t past_zeros = bytes.find_first_not_of('0', start);
    const bool is_last =
        past_zeros > start &&
        (bytes[past_zeros] == '\r' || !absl::ascii_isxdigit(bytes[past_zeros]));
    if (!is_last) return true;
    return bytes.find(kMessageEnd, end) != std::string_view::npos;
  }

  static std::string Text(View view) {
    return std::string(view.data(), view.size());
  }

  void on_request_impl(boost::beast::http::verb, View method, View target,
                       int number, Code&) override {
    this->version = number;
    this->request.method = Text(method);
    this->request.target = Text(target);
  }
  void on_response_impl(int code, View reason, int, Code&) override {
    this->head.status = code;
    this->head.reason = Text(reason);
  }
  void on_field_impl(boost::beast::http::field, View name, View value,
                     Code& error) override {
    // Trailers come after what the head decides, and aren't passed on.
    if (this->is_header_done()) return;
    if (!kIsRequest && this->head.headers.Size() >= kMaxResponseFields) {
      error = boost::beast::http::error::header_limit;
      return;
    }
    Headers& headers = kIsRequest ? this->request.headers : this->head.headers;
    headers.Add(Text(name), Text(value));
  }
  /// Beast takes codings that it doesn't know for none: the body of such a
  /// request for the next request, and of such a response for what it encodes.
  void on_header_impl(Code& error) override {
    const Headers& headers =
        kIsRequest ? this->request.headers : this->head.headers;
    const auto codings = headers.FindAll("Transfer-Encoding");
    const bool only_chunked = codings.size() == 1 &&
                              EqualIgnoringCase(codings[0], "chunked") &&
                              !headers.Find("Content-Length");
    if (!codings.empty() && !only_chunked) {
      error = boost::beast::http::error::bad_transfer_encoding;
    }
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         Code&) override {
    if (length) this->head.length = *length;
  }
  std::size_t on_body_impl(View bytes, Code&) override {
    if (this->on_body) this->on_body({bytes.data(), bytes.size()});
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t size, View, Code&) override {
    this->chunk_left = size;
    this->after_chunk = true;
  }
  std::size_t on_chunk_body_impl(std::uint64_t, View bytes, Code&) override {
    this->chunk_left -= bytes.size();
    if (this->on_body) this->on_body({bytes.data(), bytes.size()});
    return bytes.size();
  }
  void on_finish_impl(Code&) override {}

  /// Bytes of the current chunk that are still to come.
  std::uint64_t chunk_left = 0;
  /// Whether a chunk came before the next line.
  bool after_chunk = false;
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_LIB_HTTP_PARSER_H_
