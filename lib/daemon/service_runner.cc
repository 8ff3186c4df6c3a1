#include "toucanwharf/daemon/service_runner.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "absl/strings/match.h"

namespace toucanwharf::daemon {
namespace {

using transport::CallEnd;
using transport::HttpCall;
using transport::HttpOutcome;

constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;
/// Maximum wait for a claim. Far above the store's usual few milliseconds, and
/// short enough that a caller is refused soon during an outage.
constexpr Duration kClaimTimeout = std::chrono::seconds(3);
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
constexpr std::size_t kMaxAttempts = 3;
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kRetryAfter = std::chrono::seconds(2);
constexpr const char* kRanHeader = "toucanwharf-ran";

bool RefusedBeforeRunning(const HttpOutcome& outcome) {
  if (outcome.status != kUnavailable) return false;
  const auto ran = outcome.headers.find(kRanHeader);
  return ran != outcome.headers.end() && ran->second == "no";
}

Refusal MakeRefusal(const ServiceJob& job, int status, const char* code,
                    std::string message, pipeline::Ran ran) {
  Refusal refusal;
  refusal.status = status;
  refusal.code = code;
  refusal.message = std::move(message);
  refusal.ran = ran;
  refusal.retry_after = kRetryAfter;
  refusal.request_id = job.request_id;
  return refusal;
}

int StatusOf(once::IdempotencyError reason) {
  switch (reason) {
    case once::IdempotencyError::kKeyMalformed:
      return kBadRequest;
    case once::IdempotencyError::kKeyReused:
      return kUnprocessable;
    case once::IdempotencyError::kKeyTooOld:
    case once::IdempotencyError::kInProgress:
    case once::IdempotencyError::kOutcomeLost:
      return kConflict;
    case once::IdempotencyError::kJournalFull:
    case once::IdempotencyError::kJournalUnreachable:
      return kUnavailable;
  }
  return kUnavailable;
}

const char* CodeOf(once::IdempotencyError reason) {
  switch (reason) {
    case once::IdempotencyError::kKeyMalformed:
      return "bad_idempotency_key";
    case once::IdempotencyError::kKeyReused:
      return "idempotency_key_reused";
    case once::IdempotencyError::kKeyTooOld:
      return "idempotency_key_too_old";
    case once::IdempotencyError::kInProgress:
      return "in_progress";
    case once::IdempotencyError::kOutcomeLost:
      return "outcome_unknown";
    case once::IdempotencyError::kJournalFull:
      return "journal_full";
    case once::IdempotencyError::kJournalUnreachable:
      return "journal_unreachable";
  }
  return "journal_unreachable";
}

Refusal RefusalOf(const ServiceJob& job, const once::Refused& refused) {
  const auto ran = refused.ran == once::Ran::kNo ? pipeline::Ran::kNo
                                                 : pipeline::Ran::kUnknown;
  return MakeRefusal(job, StatusOf(refused.reason), CodeOf(refused.reason),
                     once::make_error_code(refused.reason).message(), ran);
}

}  // namespace

bool IsIdempotent(const records::Service& service, const std::string& method,
                  const std::string& path) {
  const records::ServiceCall* best = nullptr;
  for (const records::ServiceCall& call : service.calls) {
    if (call.method != method) continue;
    if (!absl::StartsWith(path, call.path_prefix)) continue;
    const bool longer =
        best == nullptr || call.path_prefix.size() > best->path_prefix.size();
    if (longer) best = &call;
  }
  return best != nullptr && best->idempotent;
}

/// One call in progress, across all its attempts.
struct ServiceRunner::Call {
  ServiceJob job;
  Done done;
  std::set<std::string> attempted;
  std::string endpoint;
  // Whether an earlier attempt may have run; then the call must not be reported
  // as not run (I3).
  bool may_have_run = false;
  /// The attempt in flight; 0 for none.
  transport::CallId attempt = 0;
  bool finished = false;
  /// Request and claim in the journal, for a call with a caller's key.
  platform::IdempotentRequest request;
  std::string claim;
  bool granted = false;
};

ServiceRunner::ServiceRunner(transport::HttpClient& client,
                             Directory& directory,
                             platform::IdempotencyJournal& journal,
                             Metrics& metrics, std::uint64_t seed)
    : client(client),
      directory(directory),
      journal(journal),
      metrics(metrics),
      random(seed) {}

void ServiceRunner::Start(ServiceJob job, Done done) {
  this->metrics.Count("toucanwharf_service_calls_total");
  auto call = std::make_shared<Call>();
  call->job = std::move(job);
  call->done = std::move(done);
  this->calls.insert(call);
  // A call without a caller-supplied key can't be repeated, so it needs no
  // claim, and "not run" can be reported without asking the platform.
  const bool has_caller_key = !call->job.idempotent &&
                              call->job.idempotency_key != call->job.request_id;
  if (has_caller_key) {
    this->ClaimKey(call);
    return;
  }
  this->StartAttempt(call);
}

void ServiceRunner::ClaimKey(const std::shared_ptr<Call>& call) {
  const ServiceJob& job = call->job;
  call->request.customer = job.customer;
  call->request.service = job.service.name;
  call->request.idempotency_key = job.idempotency_key;
  call->request.content = job.method + " " + job.target + "\n" + job.body;
  call->request.verdict_timeout = std::min(kClaimTimeout, job.service.timeout);
  const auto done = [this, call](once::Verdict verdict) {
    this->OnVerdict(call, std::move(verdict));
  };
  call->claim = this->journal.Claim(call->request, done);
}

void ServiceRunner::OnVerdict(const std::shared_ptr<Call>& call,
                              once::Verdict verdict) {
  const bool granted = std::holds_alternative<once::Granted>(verdict);
  if (call->finished) {
    // It ended without a run, so that a repeat of its key may run.
    if (granted) {
      this->journal.RecordOutcome(call->request, call->claim,
                                  once::KeyState::kNotRun, once::Outcome());
    }
    return;
  }
  if (granted) {
    call->granted = true;
    this->StartAttempt(call);
    return;
  }
  if (const auto* refused = std::get_if<once::Refused>(&verdict)) {
    this->metrics.Count("toucanwharf_once_refusals_total");
    this->Finish(call, RefusalOf(call->job, *refused));
    return;
  }
  this->metrics.Count("toucanwharf_once_repeats_total");
  auto& outcome = std::get<once::Outcome>(verdict);
  if (!outcome.body_retained) {
    this->Finish(call,
                 MakeRefusal(call->job, kConflict, "outcome_not_kept",
                             "the request ran and its answer, status " +
                                 std::to_string(outcome.status) +
                                 ", was too long to keep; look it up in the "
                                 "service",
                             pipeline::Ran::kUnknown));
    return;
  }
  this->Finish(call,
               ServiceAnswer{outcome.status, std::move(outcome.content_type),
                             std::move(outcome.body)});
}

void ServiceRunner::RecordOutcome(const Call& call,
                                  const ServiceResult& result) {
  if (!call.granted) return;
  once::KeyState state = once::KeyState::kOutcomeLost;
  once::Outcome outcome;
  if (const auto* answer = std::get_if<ServiceAnswer>(&result)) {
    state = once::KeyState::kDone;
    outcome = {answer->status, answer->content_type, answer->body, true};
  } else if (std::get<Refusal>(result).ran == pipeline::Ran::kNo) {
    state = once::KeyState::kNotRun;
  }
  this->journal.RecordOutcome(call.request, call.claim, state,
                              std::move(outcome));
}

void ServiceRunner::StartAttempt(const std::shared_ptr<Call>& call) {
  std::vector<Instance> usable;
  for (Instance& instance :
       this->directory.ServiceInstances(call->job.service.name)) {
    if (!call->attempted.contains(instance.id)) {
      usable.push_back(std::move(instance));
    }
  }
  if (usable.empty() || call->attempted.size() >= kMaxAttempts) {
    const auto ran =
        call->may_have_run ? pipeline::Ran::kUnknown : pipeline::Ran::kNo;
    this->Finish(call, MakeRefusal(call->job, kUnavailable, "no_endpoint",
                                   "no endpoint of the service can be reached; "
                                   "come back later",
                                   ran));
    return;
  }
  const Instance& chosen = usable[this->random.Below(usable.size())];
  call->attempted.insert(chosen.id);
  call->endpoint = chosen.id;
  HttpCall http;
  http.method = call->job.method;
  http.url = "http://" + chosen.address + call->job.target;
  if (!call->job.content_type.empty()) {
    http.headers.emplace_back("Content-Type", call->job.content_type);
  }
  if (!call->job.idempotency_key.empty()) {
    http.headers.emplace_back("Idempotency-Key", call->job.idempotency_key);
  }
  http.body = call->job.body;
  http.connect_timeout = kConnectTimeout;
  http.total_timeout = call->job.service.timeout;
  http.reuse = call->job.idempotent ? transport::Reuse::kAllowed
                                    : transport::Reuse::kNever;
  const auto on_done = [this, call](const HttpOutcome& outcome) {
    this->OnOutcome(call, outcome);
  };
  call->attempt = this->client.Start(std::move(http), {nullptr, on_done});
}

void ServiceRunner::EndAll() {
  const auto open = this->calls;
  for (const auto& call : open) {
    const bool in_flight = call->attempt != 0;
    this->client.Cancel(std::exchange(call->attempt, 0));
    call->may_have_run = call->may_have_run || in_flight;
    LOG(WARNING) << "the end of the process breaks off call "
                 << call->job.request_id << " of service "
                 << call->job.service.name;
    this->Finish(call, BrokenOff(*call));
  }
}

Refusal ServiceRunner::BrokenOff(const Call& call) {
  if (call.may_have_run) {
    return MakeRefusal(call.job, kBadGateway, "outcome_unknown",
                       "this instance ended before the endpoint had answered; "
                       "ask the service whether the call ran before you send "
                       "it anew",
                       pipeline::Ran::kUnknown);
  }
  return MakeRefusal(call.job, kUnavailable, "stopping",
                     "this instance stops; use another entry instance",
                     pipeline::Ran::kNo);
}

void ServiceRunner::OnOutcome(const std::shared_ptr<Call>& call,
                              const HttpOutcome& outcome) {
  if (call->finished) return;
  call->attempt = 0;
  const bool answered = outcome.end == CallEnd::kAnswered;
  if (answered && !RefusedBeforeRunning(outcome)) {
    ServiceAnswer answer;
    answer.status = outcome.status;
    answer.body = outcome.body;
    const auto type = outcome.headers.find("content-type");
    if (type != outcome.headers.end()) answer.content_type = type->second;
    this->Finish(call, std::move(answer));
    return;
  }
  const bool known_not_run = answered || !outcome.sent;
  if (!known_not_run) call->may_have_run = true;
  if (known_not_run || call->job.idempotent) {
    this->metrics.Count("toucanwharf_service_retries_total");
    this->StartAttempt(call);
    return;
  }
  const bool timed_out = outcome.end == CallEnd::kTimedOut;
  this->Finish(
      call,
      MakeRefusal(call->job, timed_out ? kGatewayTimeout : kBadGateway,
                  "outcome_unknown",
                  "the endpoint did not answer after the call was sent; ask "
                  "the service whether it ran before you send it anew",
                  pipeline::Ran::kUnknown));
}

void ServiceRunner::Finish(const std::shared_ptr<Call>& call,
                           ServiceResult result) {
  if (std::exchange(call->finished, true)) return;
  this->calls.erase(call);
  this->RecordOutcome(*call, result);
  call->done(std::move(result));
}

}  // namespace toucanwharf::daemon
