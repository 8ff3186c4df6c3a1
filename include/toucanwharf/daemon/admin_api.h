#ifndef TOUCANWHARF_DAEMON_ADMIN_API_H_
#define TOUCANWHARF_DAEMON_ADMIN_API_H_

#include <functional>
#include <memory>
#include <string>

#include "toucanwharf/transport/http_server.h"

namespace toucanwharf::daemon {

/// Implementations of the operators' requests to one router.
struct AdminCallbacks {
  /// Returns `GET /admin/status` as JSON.
  std::function<std::string()> status;
  /// Returns `GET /admin/timeline` as JSON: events after a sequence number.
  std::function<std::string(std::uint64_t)> timeline;
  std::function<std::string()> metrics;
  std::function<void()> drain;
};

/// Serves the HTTP API for operators.
/// Thread safety: none; for the loop's thread.
class AdminApi {
 public:
  AdminApi(std::string admin_key, AdminCallbacks callbacks);

  /// Serves one request. Precondition: the exchange has no answer yet.
  void Serve(const std::shared_ptr<transport::Exchange>& exchange);

 private:
  bool IsAllowed(const transport::HttpRequest& request) const;

  std::string key_hash;
  AdminCallbacks callbacks;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_ADMIN_API_H_
