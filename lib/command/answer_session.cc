#include "toucanwharf/command/answer_session.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

#include "toucanwharf/command/http.h"

namespace toucanwharf::command {
namespace {

using nlohmann::json;
using transport::CallEnd;
using transport::HttpOutcome;

constexpr int kOk = 200;
// Allows a resume attempt and a repeated request per entry instance after each
// of two faults; after more faults another call is unlikely to succeed.
constexpr std::uint32_t kCallsPerEntry = 4;
// Error codes that concern only the instance that answered, not the system.
constexpr const char* kInstanceErrorCodes[] = {"not_ready", "draining"};
constexpr const char* kFinalEvent = "[DONE]";

std::string TextMember(const json& object, const char* name) {
  if (!object.is_object()) return "";
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string()) return "";
  return found->get<std::string>();
}

std::uint64_t NumberMember(const json& object, const char* name,
                           std::uint64_t fallback) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_number_unsigned()) return fallback;
  return found->get<std::uint64_t>();
}

AnswerFailure FailureOf(int status, const json& body) {
  AnswerFailure failure;
  failure.status = status;
  failure.ran = TextMember(body, "ran");
  if (!body.is_object()) return failure;
  failure.message = TextMember(body.value("error", json()), "message");
  failure.retry_after_s = NumberMember(body, "retry_after_s", 0);
  return failure;
}

bool IsInstanceError(const json& body) {
  if (!body.is_object()) return false;
  const std::string code = TextMember(body.value("error", json()), "code");
  return std::any_of(std::begin(kInstanceErrorCodes),
                     std::end(kInstanceErrorCodes),
                     [&code](const char* known) { return code == known; });
}

/// Returns the text of a chat or completion chunk; empty for the final chunk.
std::string ChunkText(const json& chunk) {
  const auto choices = chunk.find("choices");
  const bool usable = choices != chunk.end() && choices->is_array() &&
                      !choices->empty() && (*choices)[0].is_object();
  if (!usable) return "";
  const json& choice = (*choices)[0];
  if (choice.contains("delta")) return TextMember(choice["delta"], "content");
  return TextMember(choice, "text");
}

json BodyOf(const AnswerQuery& query) {
  json body = {{"model", query.model},
               {"max_tokens", query.max_tokens},
               {"seed", query.seed},
               {"stream", true}};
  if (query.chat) {
    body["messages"] = {{{"role", "user"}, {"content", query.prompt}}};
  } else {
    body["prompt"] = query.prompt;
  }
  return body;
}

}  // namespace

AnswerSession::AnswerSession(AnswerQuery answer_query,
                             std::vector<std::string> entry_addresses)
    : query(std::move(answer_query)), entries(std::move(entry_addresses)) {
  assert(!this->entries.empty() &&
         "a session needs at least one entry instance");
  this->step = {AnswerStep::Kind::kRequest, this->entries.front()};
}

transport::HttpCall AnswerSession::Call(std::string_view key) const {
  if (this->step.kind == AnswerStep::Kind::kResume) {
    const std::string target = "/v1/requests/" + this->id +
                               "?from=" + std::to_string(this->tokens.size());
    return MakeCall("GET", this->step.entry, target, key);
  }
  const char* target =
      this->query.chat ? "/v1/chat/completions" : "/v1/completions";
  auto call = MakeCall("POST", this->step.entry, target, key);
  call.headers.emplace_back("Content-Type", "application/json");
  call.body =
      BodyOf(this->query).dump(-1, ' ', false, json::error_handler_t::replace);
  return call;
}

std::size_t AnswerSession::OnBytes(std::string_view bytes) {
  const std::size_t before = this->tokens.size();
  for (const std::string& data : this->parser.Feed(bytes)) {
    this->ProcessEvent(data);
  }
  return this->tokens.size() - before;
}

void AnswerSession::ProcessEvent(const std::string& data) {
  if (data == kFinalEvent) {
    this->complete = true;
    return;
  }
  const json chunk = json::parse(data, nullptr, false);
  if (!chunk.is_object()) return;
  if (chunk.contains("error")) {
    this->failed = true;
    this->failure = FailureOf(kOk, chunk);
    return;
  }
  this->id = TextMember(chunk, "id");
  std::string text = ChunkText(chunk);
  if (text.empty()) return;
  this->AddToken(NumberMember(chunk, "index_in_answer", this->tokens.size()),
                 std::move(text));
}

void AnswerSession::AddToken(std::uint64_t index, std::string text) {
  if (index == this->tokens.size()) {
    this->tokens.push_back(std::move(text));
    return;
  }
  const bool repeats =
      index < this->tokens.size() && this->tokens[index] == text;
  if (repeats) return;
  this->failed = true;
  this->failure.message =
      "token " + std::to_string(index) + " came out of order or changed";
}

void AnswerSession::OnEnd(const HttpOutcome& outcome) {
  this->parser = transport::EventStreamParser();
  if (this->failed) {
    this->Finish(State::kFailed);
    return;
  }
  if (this->complete) {
    this->Finish(State::kComplete);
    return;
  }
  const bool answered = outcome.end == CallEnd::kAnswered;
  const bool requested = this->step.kind == AnswerStep::Kind::kRequest;
  if (answered && outcome.status != kOk && requested) {
    this->HandleRefusal(outcome);
    return;
  }
  // A refused connection does not count as an interruption.
  const bool cut_off = !answered || outcome.status == kOk;
  if (cut_off && outcome.sent) ++this->interruptions;
  if (outcome.sent && requested) this->resume_attempted_at = {this->step.entry};
  this->failure = {outcome.status, Explain(outcome), "unknown", 0};
  this->ChooseNextStep();
}

void AnswerSession::HandleRefusal(const HttpOutcome& outcome) {
  const json body = json::parse(outcome.body, nullptr, false);
  this->failure = FailureOf(outcome.status, body);
  if (IsInstanceError(body)) {
    this->ChooseNextStep();
    return;
  }
  this->Finish(State::kRefused);
}

std::string AnswerSession::NextEntry() const {
  const auto current =
      std::find(this->entries.begin(), this->entries.end(), this->step.entry);
  const auto next = current + 1;
  return next == this->entries.end() ? this->entries.front() : *next;
}

void AnswerSession::ChooseNextStep() {
  if (++this->calls > kCallsPerEntry * this->entries.size()) {
    this->Finish(State::kFailed);
    return;
  }
  const std::string entry = this->NextEntry();
  const bool resumable =
      !this->id.empty() && this->resume_attempted_at.insert(entry).second;
  if (resumable) {
    this->step = {AnswerStep::Kind::kResume, entry};
    return;
  }
  this->id.clear();
  this->resume_attempted_at.clear();
  this->step = {AnswerStep::Kind::kRequest, entry};
}

void AnswerSession::Finish(State end) {
  this->state = end;
  this->step = {AnswerStep::Kind::kEnd, ""};
}

}  // namespace toucanwharf::command
