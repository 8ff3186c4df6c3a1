#ifndef TOUCANWHARF_LIB_HTTP_PARSER_H_
#define TOUCANWHARF_LIB_HTTP_PARSER_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/optional/optional.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "toucanwharf/http/message.h"

namespace toucanwharf::http {

/// Beast parser that keeps header fields as received and passes body bytes to
/// `on_body` without a copy.
template <bool kIsRequest>
class MessageParser : public boost::beast::http::basic_parser<kIsRequest> {
 public:
  using Base = boost::beast::http::basic_parser<kIsRequest>;
  using Code = boost::system::error_code;
  using View = boost::beast::string_view;

  Request request;
  ResponseHead head;
  std::function<void(std::string_view)> on_body;

  /// Parses the front of \p bytes and removes what it consumed. Returns false
  /// for a malformed message and sets \p error.
  bool Feed(std::string& bytes, Code& error) {
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !this->is_done()) {
      // A parser that isn't eager stops at the start of the body.
      if (!this->eager() && this->is_header_done()) break;
      const std::size_t step = this->put(
          boost::asio::buffer(bytes.data() + consumed, bytes.size() - consumed),
          error);
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
  static std::string Text(View view) {
    return std::string(view.data(), view.size());
  }

  void on_request_impl(boost::beast::http::verb, View method, View target, int,
                       Code&) override {
    this->request.method = Text(method);
    this->request.target = Text(target);
  }
  void on_response_impl(int code, View reason, int, Code&) override {
    this->head.status = code;
    this->head.reason = Text(reason);
  }
  void on_field_impl(boost::beast::http::field, View name, View value,
                     Code&) override {
    Headers& headers = kIsRequest ? this->request.headers : this->head.headers;
    headers.Add(Text(name), Text(value));
  }
  void on_header_impl(Code&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         Code&) override {
    if (length) this->head.length = *length;
  }
  std::size_t on_body_impl(View bytes, Code&) override {
    if (this->on_body) this->on_body({bytes.data(), bytes.size()});
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t, View, Code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, View bytes, Code&) override {
    if (this->on_body) this->on_body({bytes.data(), bytes.size()});
    return bytes.size();
  }
  void on_finish_impl(Code&) override {}
};

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_LIB_HTTP_PARSER_H_
