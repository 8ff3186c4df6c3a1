#include "response_text.h"

#include <boost/beast/http/status.hpp>
#include <chrono>

#include "absl/strings/str_cat.h"

namespace toucanwharf::http {
namespace {

namespace beast_http = boost::beast::http;

std::string ReasonOf(const ResponseHead& head) {
  if (!head.reason.empty()) return head.reason;
  const auto default_reason =
      beast_http::obsolete_reason(static_cast<beast_http::status>(head.status));
  return {default_reason.data(), default_reason.size()};
}

}  // namespace

std::string HeadText(const ResponseHead& head, bool chunked,
                     std::optional<std::uint64_t> length, bool close,
                     Duration idle) {
  std::string text =
      absl::StrCat("HTTP/1.1 ", head.status, " ", ReasonOf(head), "\r\n");
  for (const auto& [name, value] : head.headers) {
    absl::StrAppend(&text, name, ": ", value, "\r\n");
  }
  if (chunked) {
    absl::StrAppend(&text, "Transfer-Encoding: chunked\r\n");
  } else if (length) {
    absl::StrAppend(&text, "Content-Length: ", *length, "\r\n");
  }
  if (close) {
    absl::StrAppend(&text, "Connection: close\r\n");
  } else {
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(idle).count();
    absl::StrAppend(&text, "Keep-Alive: timeout=", seconds, "\r\n");
  }
  absl::StrAppend(&text, "\r\n");
  return text;
}

bool HasNoBody(int status) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status == kNoContent || status == kNotModified;
}

}  // namespace toucanwharf::http
