#ifndef TOUCANWHARF_HTTP_MESSAGE_H_
#define TOUCANWHARF_HTTP_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "toucanwharf/http/body.h"

/// HTTP/1.1 client and server of a router that forwards messages unchanged.
/// Parses with Boost.Beast and uses the sockets of Boost.Asio.
namespace toucanwharf::http {

inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeaderTooLarge = 431;
inline constexpr int kServerError = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

/// Returns whether \p left and \p right are equal, ignoring the case of ASCII
/// letters. Thread safety: safe.
bool EqualIgnoringCase(std::string_view left, std::string_view right);

/// Header fields in the order received, including repeated ones.
class Headers {
 public:
  using Field = std::pair<std::string, std::string>;

  void Add(std::string name, std::string value) {
    this->fields.emplace_back(std::move(name), std::move(value));
  }
  /// Removes every field \p name and adds one.
  void Set(std::string_view name, std::string value);
  void Remove(std::string_view name);
  /// Returns the first value of \p name, or nothing.
  std::optional<std::string_view> Find(std::string_view name) const;
  /// Returns all values of \p name, in the order received.
  std::vector<std::string_view> FindAll(std::string_view name) const;
  /// Returns the first value of \p name, or an empty string.
  std::string_view Get(std::string_view name) const {
    return this->Find(name).value_or(std::string_view());
  }

  std::size_t Size() const { return this->fields.size(); }
  /// Returns the memory that the fields take, in bytes.
  std::size_t HeapBytes() const;

  auto begin() const { return this->fields.begin(); }
  auto end() const { return this->fields.end(); }

  friend bool operator==(const Headers&, const Headers&) = default;

 private:
  std::vector<Field> fields;
};

/// Returns \p headers without the hop-by-hop fields: the standard ones, and
/// those that a Connection field lists. Also removes Content-Length, because
/// the sender of the message frames it again.
/// Thread safety: safe.
Headers EndToEnd(const Headers& headers);

/// A request as received; the target is not percent-decoded.
struct Request {
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  Body body;

  friend bool operator==(const Request&, const Request&) = default;
};

/// The head of a response.
struct ResponseHead {
  int status = 0;
  std::string reason;
  Headers headers;
  /// Length of the body; absent when the framing doesn't announce it.
  std::optional<std::uint64_t> length;
  /// Whether the body has no framing: it ends with the connection, and nothing
  /// shows whether it is whole.
  bool ends_with_connection = false;

  friend bool operator==(const ResponseHead&, const ResponseHead&) = default;
};

/// Returns \p target without the query. Thread safety: safe.
std::string_view PathOf(std::string_view target);

/// Returns the value of \p name in the query of \p target with percent signs
/// decoded; empty if absent. Thread safety: safe.
std::string QueryValue(std::string_view target, std::string_view name);

}  // namespace toucanwharf::http

#endif  // TOUCANWHARF_HTTP_MESSAGE_H_
