#include "toucanwharf/daemon/refusal.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace toucanwharf::daemon {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;

std::int64_t WholeSeconds(Duration length) {
  return std::chrono::ceil<std::chrono::seconds>(length).count();
}

}  // namespace

std::string BodyOf(const Refusal& refusal) {
  nlohmann::json body;
  body["error"] = {{"message", refusal.message},
                   {"type", refusal.status < 500 ? "invalid_request_error"
                                                 : "unavailable_error"},
                   {"code", refusal.code}};
  body["ran"] = pipeline::RanName(refusal.ran);
  body["request_id"] = refusal.request_id;
  if (refusal.retry_after) {
    body["retry_after_s"] = WholeSeconds(*refusal.retry_after);
  }
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void Send(transport::Exchange& exchange, const Refusal& refusal) {
  std::vector<transport::Header> headers = {
      {"Content-Type", "application/json"}};
  if (!refusal.request_id.empty()) {
    headers.emplace_back("X-Request-Id", refusal.request_id);
  }
  if (refusal.retry_after) {
    headers.emplace_back("Retry-After",
                         std::to_string(WholeSeconds(*refusal.retry_after)));
  }
  exchange.Respond(refusal.status, std::move(headers), BodyOf(refusal) + "\n");
}

Refusal MakeRefusal(int status, std::string code, std::string message) {
  Refusal refusal;
  refusal.status = status;
  refusal.code = std::move(code);
  refusal.message = std::move(message);
  return refusal;
}

Refusal UnknownAnswer(const std::string& id, std::string why) {
  Refusal refusal = MakeRefusal(kNotFound, "unknown_request", std::move(why));
  refusal.ran = pipeline::Ran::kUnknown;
  refusal.request_id = id;
  return refusal;
}

void BeginStream(transport::Exchange& exchange, const std::string& id) {
  exchange.BeginStream(kOk, {{"Content-Type", "text/event-stream"},
                             {"Cache-Control", "no-cache"},
                             {"X-Request-Id", id}});
}

void SendJson(transport::Exchange& exchange, std::string body,
              std::vector<transport::Header> headers) {
  headers.emplace_back("Content-Type", "application/json");
  exchange.Respond(kOk, std::move(headers), std::move(body));
}

}  // namespace toucanwharf::daemon
