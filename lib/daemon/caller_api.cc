#include "toucanwharf/daemon/caller_api.h"

#include <chrono>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"
#include "toucanwharf/support/ids.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::daemon {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;
constexpr Duration kRetryAfter = std::chrono::seconds(1);
constexpr std::uint64_t kMillisPerSecond = 1000;
constexpr std::size_t kMaxIdempotencyKeyBytes = 128;
constexpr const char* kServicesPrefix = "/v1/services/";
constexpr const char* kRequestsPrefix = "/v1/requests/";

std::string HeaderOf(const transport::HttpRequest& request, const char* name) {
  const auto found = request.headers.find(name);
  return found == request.headers.end() ? "" : found->second;
}

bool IsUnescapedPathByte(char byte) {
  constexpr std::string_view kUnescapedPunctuation = "-._~/!$&'()*+,;=:@";
  const bool alphanumeric = (byte >= 'a' && byte <= 'z') ||
                            (byte >= 'A' && byte <= 'Z') ||
                            (byte >= '0' && byte <= '9');
  return alphanumeric ||
         kUnescapedPunctuation.find(byte) != std::string_view::npos;
}

/// Escapes a path that libmicrohttpd decoded, so that no byte of it can
/// terminate the request line sent to the service.
std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char byte : text) {
    if (IsUnescapedPathByte(byte)) {
      escaped.push_back(byte);
    } else {
      absl::StrAppendFormat(&escaped, "%%%02X",
                            static_cast<unsigned char>(byte));
    }
  }
  return escaped;
}

/// Returns whether \p path has a segment "." or "..". Whoever normalizes such a
/// path last decides its meaning: a call that the record marks idempotent could
/// reach the service as a different, non-idempotent call and run twice (I4).
bool HasDotSegment(std::string_view path) {
  for (const absl::string_view segment :
       absl::StrSplit(absl::string_view(path.data(), path.size()), '/')) {
    if (segment == "." || segment == "..") return true;
  }
  return false;
}

std::string EscapeArgument(std::string_view text) {
  std::string escaped;
  for (const char byte : Escape(text)) {
    if (byte == '&' || byte == '=' || byte == '+') {
      absl::StrAppendFormat(&escaped, "%%%02X", byte);
    } else {
      escaped.push_back(byte);
    }
  }
  return escaped;
}

std::string TargetOf(const std::string& path,
                     const std::map<std::string, std::string>& query) {
  std::string target = Escape(path);
  char separator = '?';
  for (const auto& [key, value] : query) {
    target += separator + EscapeArgument(key) + "=" + EscapeArgument(value);
    separator = '&';
  }
  return target;
}

bool IsSafeHeaderValue(const std::string& value) {
  for (const char byte : value) {
    if (byte < ' ' || byte > '~') return false;
  }
  return true;
}

}  // namespace

CallerApi::CallerApi(transport::EventLoop& loop,
                     const settings::Settings& settings,
                     const platform::ConfigService& config,
                     AnswerSessions& sessions, ServiceRunner& services,
                     EntryAdviceProvider& entry_advice, Metrics& metrics)
    : loop(loop),
      settings(settings),
      config(config),
      sessions(sessions),
      services(services),
      entry_advice(entry_advice),
      metrics(metrics) {}

bool CallerApi::Ready() const { return this->config.Catalog().generation > 0; }

void CallerApi::Serve(const SharedExchange& exchange) {
  const transport::HttpRequest& request = exchange->Request();
  if (this->ServeUnauthenticated(exchange)) return;
  if (!this->Ready()) {
    Refusal refusal = MakeRefusal(
        kUnavailable, "not_ready",
        "this instance has no configuration yet; use another entry instance");
    refusal.retry_after = kRetryAfter;
    this->Refuse(exchange, std::move(refusal));
    return;
  }
  const auto customer = this->Authenticate(request);
  if (!customer) {
    this->Refuse(exchange,
                 MakeRefusal(kUnauthorized, "bad_key",
                             "the key is missing or not known; send "
                             "Authorization: Bearer with a customer's key"));
    return;
  }
  if (request.path == "/v1/entries" && request.method == "GET") {
    SendJson(*exchange, this->entry_advice.Advice(customer->name));
  } else if (request.path == "/v1/models" && request.method == "GET") {
    this->ServeModels(exchange);
  } else if (request.path == "/v1/chat/completions" &&
             request.method == "POST") {
    this->ServeCompletion(exchange, *customer, CompletionShape::kChat);
  } else if (request.path == "/v1/completions" && request.method == "POST") {
    this->ServeCompletion(exchange, *customer, CompletionShape::kText);
  } else if (absl::StartsWith(request.path, kServicesPrefix)) {
    this->ServeService(exchange, *customer);
  } else if (absl::StartsWith(request.path, kRequestsPrefix) &&
             request.method == "GET") {
    this->ServeResume(exchange, *customer);
  } else {
    this->Refuse(exchange, MakeRefusal(kNotFound, "unknown_path",
                                       "no such path or method; see "
                                       "docs/CALLERS.md"));
  }
}

bool CallerApi::ServeUnauthenticated(const SharedExchange& exchange) {
  const transport::HttpRequest& request = exchange->Request();
  if (request.method != "GET") return false;
  if (request.path == "/healthz") {
    exchange->Respond(kOk, {{"Content-Type", "text/plain"}}, "ok\n");
    return true;
  }
  if (request.path == "/readyz") {
    const bool ready = this->Ready();
    exchange->Respond(ready ? kOk : kUnavailable,
                      {{"Content-Type", "text/plain"}},
                      ready ? "ready\n" : "no configuration yet\n");
    return true;
  }
  if (request.path == "/metrics") {
    exchange->Respond(kOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                      this->metrics.Render());
    return true;
  }
  return false;
}

std::optional<records::Customer> CallerApi::Authenticate(
    const transport::HttpRequest& request) const {
  const std::string header = HeaderOf(request, "authorization");
  absl::string_view key = header;
  if (!absl::ConsumePrefix(&key, "Bearer ")) return std::nullopt;
  // Only hashes are stored and compared, so that the time of a comparison
  // reveals nothing about a key.
  const std::string hash = Sha256Hex(std::string_view(key.data(), key.size()));
  for (const auto& [name, customer] : this->config.Catalog().customers) {
    if (customer.key_sha256 == hash) return customer;
  }
  return std::nullopt;
}

void CallerApi::ServeCompletion(const SharedExchange& exchange,
                                const records::Customer& customer,
                                CompletionShape shape) {
  const auto parsed = ParseCompletion(shape, exchange->Request().body);
  if (!parsed) {
    this->Refuse(exchange, parsed.error());
    return;
  }
  const CompletionRequest& completion = parsed.value();
  const records::Catalog& catalog = this->config.Catalog();
  const auto pipeline = catalog.pipelines.find(completion.model);
  if (pipeline == catalog.pipelines.end()) {
    this->Refuse(exchange, MakeRefusal(kNotFound, "model_not_found",
                                       "no such model; see GET /v1/models"));
    return;
  }
  const auto model = catalog.models.find(pipeline->second.model);
  if (model == catalog.models.end()) {
    this->Refuse(exchange, MakeRefusal(kUnavailable, "model_not_served",
                                       "the model's record is missing; its "
                                       "operators must write it"));
    return;
  }
  // Another instance resumes an answer that is broken off.
  const Duration allowed = this->settings.timeouts.answer;
  if (this->RefuseInStop(exchange, {allowed, Duration(0)})) return;
  SessionRequest session;
  session.customer = customer.name;
  session.stream = completion.stream;
  session.naming = {shape, NewIdOf(this->settings.instance), completion.model,
                    WallMillis() / kMillisPerSecond};
  session.job.prompt = completion.prompt;
  session.job.seed =
      completion.has_seed ? completion.seed : HashText(session.naming.id);
  pipeline::AnswerRequest& request = session.job.request;
  request.id = session.naming.id;
  request.model = {pipeline->second.model, pipeline->second.version,
                   pipeline->second.adapter};
  request.layers = model->second.layers;
  request.prompt_tokens = EstimateTokens(completion.prompt);
  request.max_tokens =
      std::min(completion.max_tokens, pipeline->second.max_tokens);
  request.deadline = this->loop.Now() + this->settings.timeouts.answer;
  this->sessions.Open(std::move(session), exchange);
}

void CallerApi::ServeService(const SharedExchange& exchange,
                             const records::Customer& customer) {
  const transport::HttpRequest& request = exchange->Request();
  const std::string rest =
      request.path.substr(std::string_view(kServicesPrefix).size());
  const std::size_t slash = rest.find('/');
  const std::string name = rest.substr(0, slash);
  const std::string path =
      slash == std::string::npos ? "/" : rest.substr(slash);
  const bool method_allowed = request.method == "GET" ||
                              request.method == "POST" ||
                              request.method == "PUT";
  if (!method_allowed) {
    this->Refuse(exchange,
                 MakeRefusal(kMethodNotAllowed, "method_not_allowed",
                             "services take GET, POST and PUT; use one"));
    return;
  }
  if (HasDotSegment(path)) {
    this->Refuse(exchange, MakeRefusal(kBadRequest, "bad_path",
                                       "the path has a segment . or ..; send "
                                       "the path that is meant"));
    return;
  }
  const auto& services = this->config.Catalog().services;
  const auto service = services.find(name);
  if (service == services.end()) {
    this->Refuse(exchange, MakeRefusal(kNotFound, "service_not_found",
                                       "no such service; check its name"));
    return;
  }
  ServiceJob job;
  job.request_id = NewId();
  job.customer = customer.name;
  job.service = service->second;
  job.method = request.method;
  job.target = TargetOf(path, request.query);
  job.content_type = HeaderOf(request, "content-type");
  job.idempotency_key = HeaderOf(request, "idempotency-key");
  job.idempotent = IsIdempotent(service->second, request.method, path);
  job.body = request.body;
  const bool bad_key = job.idempotency_key.size() > kMaxIdempotencyKeyBytes ||
                       !IsSafeHeaderValue(job.idempotency_key) ||
                       !IsSafeHeaderValue(job.content_type);
  if (bad_key) {
    this->Refuse(exchange, MakeRefusal(kBadRequest, "bad_header",
                                       "Idempotency-Key and Content-Type must "
                                       "be short printable ASCII"));
    return;
  }
  if (!job.idempotent && job.idempotency_key.empty()) {
    job.idempotency_key = job.request_id;
  }
  if (this->RefuseInStop(exchange, {job.service.timeout, std::nullopt})) {
    return;
  }
  const std::string id = job.request_id;
  const auto done = [this, exchange, id](ServiceResult result) {
    if (auto* refusal = std::get_if<Refusal>(&result)) {
      this->Refuse(exchange, std::move(*refusal));
      return;
    }
    auto& answer = std::get<ServiceAnswer>(result);
    std::vector<transport::Header> headers = {{"X-Request-Id", id}};
    if (!answer.content_type.empty()) {
      headers.emplace_back("Content-Type", answer.content_type);
    }
    exchange->Respond(answer.status, std::move(headers),
                      std::move(answer.body));
  };
  this->services.Start(std::move(job), done);
}

void CallerApi::ServeResume(const SharedExchange& exchange,
                            const records::Customer& customer) {
  const transport::HttpRequest& request = exchange->Request();
  const std::string id =
      request.path.substr(std::string_view(kRequestsPrefix).size());
  std::uint32_t from = 0;
  const auto argument = request.query.find("from");
  if (argument != request.query.end() &&
      !absl::SimpleAtoi(argument->second, &from)) {
    this->Refuse(exchange, MakeRefusal(kBadRequest, "bad_request",
                                       "argument from must be the number of "
                                       "tokens that you have"));
    return;
  }
  const bool resumed_elsewhere =
      !this->sessions.Contains(id) && this->resume_elsewhere &&
      this->resume_elsewhere(id, from, customer.name, exchange);
  if (resumed_elsewhere) {
    this->metrics.Count("toucanwharf_answers_resumed_elsewhere_total");
    return;
  }
  this->sessions.Resume(id, customer.name, from, exchange);
}

void CallerApi::ServeModels(const SharedExchange& exchange) {
  Json data = Json::array();
  for (const auto& [name, pipeline] : this->config.Catalog().pipelines) {
    data.push_back(
        {{"id", name}, {"object", "model"}, {"owned_by", pipeline.model}});
  }
  SendJson(*exchange, Json({{"object", "list"}, {"data", data}}).dump());
}

bool CallerApi::RefuseInStop(const SharedExchange& exchange,
                             const admission::ExpectedTime& time) {
  if (!this->ends_within || !this->ends_within(time)) return false;
  this->Refuse(exchange, MakeRefusal(kUnavailable, "stopping",
                                     "this instance stops; use another entry "
                                     "instance"));
  return true;
}

void CallerApi::Refuse(const SharedExchange& exchange, Refusal refusal) {
  if (refusal.request_id.empty()) refusal.request_id = NewId();
  this->metrics.Count("toucanwharf_refusals_total{code=\"" + refusal.code +
                      "\"}");
  Send(*exchange, refusal);
}

}  // namespace toucanwharf::daemon
