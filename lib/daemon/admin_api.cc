#include "toucanwharf/daemon/admin_api.h"

#include <cstdint>
#include <utility>

#include "absl/strings/numbers.h"
#include "toucanwharf/daemon/refusal.h"
#include "toucanwharf/support/ids.h"

namespace toucanwharf::daemon {
namespace {

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr const char* kBearer = "Bearer ";

std::uint64_t AfterArgument(const transport::HttpRequest& request) {
  const auto argument = request.query.find("after");
  std::uint64_t after = 0;
  if (argument == request.query.end()) return after;
  if (!absl::SimpleAtoi(argument->second, &after)) return 0;
  return after;
}

}  // namespace

AdminApi::AdminApi(std::string admin_key, AdminCallbacks callbacks)
    : key_hash(Sha256Hex(kBearer + admin_key)),
      callbacks(std::move(callbacks)) {}

void AdminApi::Serve(const std::shared_ptr<transport::Exchange>& exchange) {
  const transport::HttpRequest& request = exchange->Request();
  if (!this->IsAllowed(request)) {
    Send(*exchange, MakeRefusal(kUnauthorized, "bad_key",
                                "send Authorization: Bearer with the admin key "
                                "of the settings"));
    return;
  }
  const bool get = request.method == "GET";
  if (get && request.path == "/admin/status") {
    SendJson(*exchange, this->callbacks.status());
  } else if (get && request.path == "/admin/timeline") {
    SendJson(*exchange, this->callbacks.timeline(AfterArgument(request)));
  } else if (get && request.path == "/metrics") {
    exchange->Respond(kOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                      this->callbacks.metrics());
  } else if (request.method == "POST" && request.path == "/admin/drain") {
    this->callbacks.drain();
    SendJson(*exchange, "{\"draining\":true}\n");
  } else {
    Send(*exchange, MakeRefusal(kNotFound, "unknown_path",
                                "no such path; see docs/OPERATING.md"));
  }
}

bool AdminApi::IsAllowed(const transport::HttpRequest& request) const {
  const auto header = request.headers.find("authorization");
  if (header == request.headers.end()) return false;
  return Sha256Hex(header->second) == this->key_hash;
}

}  // namespace toucanwharf::daemon
