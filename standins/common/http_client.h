#ifndef TOUCANWHARF_STANDINS_COMMON_HTTP_CLIENT_H_
#define TOUCANWHARF_STANDINS_COMMON_HTTP_CLIENT_H_

#include <atomic>
#include <nlohmann/json.hpp>
#include <string>

namespace toucanwharf::standins {

/// Response to a call; status 0 means that none was received.
struct HttpAnswer {
  long status = 0;  // NOLINT(google-runtime-int): libcurl's type
  std::string body;

  /// Returns the body as JSON; a discarded value if it isn't valid JSON.
  nlohmann::json Json() const;
};

/// Blocking HTTP client that reuses its connections, for the stand-ins only.
/// Thread safety: none; one client per thread.
class HttpClient {
 public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Calls \p url. Aborts after \p timeout_ms, or within about a second after
  /// \p abort becomes true.
  HttpAnswer Call(const std::string& method, const std::string& url,
                  const std::string& body, int timeout_ms,
                  const std::atomic<bool>* abort = nullptr);

 private:
  void* easy;
};

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_COMMON_HTTP_CLIENT_H_
