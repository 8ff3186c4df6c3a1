#include "toucanwharf/daemon/answer_sessions.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <variant>

namespace toucanwharf::daemon {
namespace {

using transport::Exchange;

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
// Bounds the delay until a disconnected caller is detected.
constexpr Duration kReaderCheckPeriod = std::chrono::milliseconds(250);
// Time for a disconnected caller to resume through another entry instance: a
// connection attempt, its timeout and a second attempt.
constexpr Duration kResumeGrace = std::chrono::seconds(5);
constexpr Duration kRetryAfter = std::chrono::seconds(1);
constexpr const char* kDone = "[DONE]";

const char* FinishReason(const pipeline::Finish& finish,
                         std::uint32_t max_tokens) {
  return finish.tokens >= max_tokens ? "length" : "stop";
}

Refusal RefusalOf(const std::string& id, const pipeline::Fail& fail) {
  Refusal refusal;
  refusal.status = kUnavailable;
  refusal.code = "answer_failed";
  refusal.message = fail.error.message();
  refusal.ran = fail.ran;
  refusal.retry_after = kRetryAfter;
  refusal.request_id = id;
  return refusal;
}

Refusal RefusalOf(const admission::Refusal& refused) {
  const bool backlog = refused.reason == admission::RefusalReason::kBacklog;
  const bool no_endpoint =
      refused.reason == admission::RefusalReason::kNoEndpoint;
  Refusal refusal;
  refusal.status = backlog ? kTooManyRequests : kUnavailable;
  refusal.code = no_endpoint ? "no_cover" : "busy";
  refusal.message = std::string(admission::RemedyOf(refused.reason));
  refusal.retry_after = refused.retry_after;
  refusal.request_id = refused.id;
  return refusal;
}

std::string FinishEvents(const CompletionNaming& naming,
                         std::string_view reason) {
  return transport::FormatEvent(FinishChunk(naming, reason)) +
         transport::FormatEvent(kDone);
}

/// Returns the final events of an answer that is read after its end.
std::string EndEvents(const std::string& id, const CompletionNaming& naming,
                      const pipeline::AnswerLog::End& end) {
  const auto* fail = std::get_if<pipeline::Fail>(&end);
  if (fail != nullptr) {
    return transport::FormatEvent(BodyOf(RefusalOf(id, *fail)));
  }
  return FinishEvents(naming, "stop");
}

}  // namespace

/// One answer and the exchanges that read it.
struct AnswerSessions::Session {
  SessionRequest request;
  std::vector<std::shared_ptr<Exchange>> readers;
  std::vector<std::string> tokens;
  // Streams only: whether the status line was sent. A failure before that is
  // sent as a plain response instead of an event.
  bool stream_started = false;
  std::optional<TimePoint> unread_since;
};

AnswerSessions::AnswerSessions(transport::EventLoop& loop, AnswerRunner& runner,
                               Metrics& metrics)
    : loop(loop), runner(runner), metrics(metrics) {}

void AnswerSessions::Start() { this->CheckReaders(); }

void AnswerSessions::Open(SessionRequest request,
                          std::shared_ptr<Exchange> exchange) {
  auto session = std::make_shared<Session>();
  session->request = std::move(request);
  session->readers.push_back(std::move(exchange));
  const std::string id = session->request.job.request.id;
  this->sessions.emplace(id, session);
  this->log.Open(id, session->request.customer);
  AnswerHandlers handlers;
  handlers.on_token = [this, session](const pipeline::EmitToken& token) {
    this->OnToken(session, token);
  };
  handlers.on_finish = [this, session](const pipeline::Finish& finish) {
    this->OnFinish(session, finish);
  };
  handlers.on_fail = [this, session](const pipeline::Fail& fail) {
    this->OnFail(session, fail);
  };
  handlers.on_refuse = [this, session](const admission::Refusal& refused) {
    this->OnRefusal(session, refused);
  };
  AnswerJob job = session->request.job;
  job.customer = session->request.customer;
  this->runner.Start(std::move(job), std::move(handlers));
}

void AnswerSessions::OnToken(const SharedSession& session,
                             const pipeline::EmitToken& token) {
  const std::string& id = session->request.job.request.id;
  this->log.Append(id, token);
  session->tokens.push_back(token.text);
  if (!session->request.stream) return;
  if (!session->stream_started) {
    session->stream_started = true;
    for (const auto& reader : session->readers) BeginStream(*reader, id);
  }
  const std::string event = transport::FormatEvent(
      TokenChunk(session->request.naming, token.index, token.text));
  for (const auto& reader : session->readers) reader->Write(event);
}

void AnswerSessions::OnFinish(const SharedSession& session,
                              const pipeline::Finish& finish) {
  const SessionRequest& request = session->request;
  const std::string& id = request.job.request.id;
  this->log.Close(id, finish, this->loop.Now());
  const char* reason = FinishReason(finish, request.job.request.max_tokens);
  for (const auto& reader : session->readers) {
    if (!request.stream) {
      SendJson(*reader,
               WholeAnswer(request.naming, session->tokens,
                           request.job.request.prompt_tokens, reason),
               {{"X-Request-Id", id}});
      continue;
    }
    if (!session->stream_started) BeginStream(*reader, id);
    reader->Write(FinishEvents(request.naming, reason));
    reader->End();
  }
  this->RemoveSession(session);
}

void AnswerSessions::OnFail(const SharedSession& session,
                            const pipeline::Fail& fail) {
  const std::string& id = session->request.job.request.id;
  this->log.Close(id, fail, this->loop.Now());
  this->SendRefusal(session, RefusalOf(id, fail));
}

void AnswerSessions::OnRefusal(const SharedSession& session,
                               const admission::Refusal& refused) {
  const std::string& id = session->request.job.request.id;
  const auto error =
      std::make_error_code(std::errc::resource_unavailable_try_again);
  this->log.Close(id, pipeline::Fail{pipeline::Ran::kNo, error},
                  this->loop.Now());
  this->SendRefusal(session, RefusalOf(refused));
}

void AnswerSessions::SendRefusal(const SharedSession& session,
                                 const Refusal& refusal) {
  for (const auto& reader : session->readers) {
    if (!session->request.stream || !session->stream_started) {
      Send(*reader, refusal);
      continue;
    }
    // Ending the stream without an error event would make it look like a
    // complete, shorter answer (I2).
    reader->Write(transport::FormatEvent(BodyOf(refusal)));
    reader->End();
  }
  this->metrics.Count("toucanwharf_refusals_total{code=\"" + refusal.code +
                      "\"}");
  this->RemoveSession(session);
}

void AnswerSessions::RemoveSession(const SharedSession& session) {
  const std::string& id = session->request.job.request.id;
  this->ended_namings[id] = session->request.naming;
  this->sessions.erase(id);
}

Result<AnswerTail> AnswerSessions::Tail(const std::string& id,
                                        const std::string& customer,
                                        std::uint32_t from) {
  BOOST_OUTCOME_TRY(slice, this->log.Read(id, customer, from));
  const auto live = this->sessions.find(id);
  const bool running = live != this->sessions.end();
  if (running && live->second->readers.empty()) {
    live->second->unread_since = this->loop.Now();
  }
  const CompletionNaming& naming =
      running ? live->second->request.naming : this->ended_namings[id];
  AnswerTail tail;
  tail.next = slice.first_index;
  for (const std::string& text : slice.tokens) {
    tail.events += transport::FormatEvent(TokenChunk(naming, tail.next, text));
    ++tail.next;
  }
  if (!slice.end) return tail;
  tail.ended = true;
  tail.events += EndEvents(id, naming, *slice.end);
  return tail;
}

void AnswerSessions::Resume(const std::string& id, const std::string& customer,
                            std::uint32_t from,
                            std::shared_ptr<Exchange> exchange) {
  const auto tail = this->Tail(id, customer, from);
  if (!tail) {
    Send(*exchange, UnknownAnswer(id, tail.error().message()));
    return;
  }
  BeginStream(*exchange, id);
  exchange->Write(tail.value().events);
  if (tail.value().ended) {
    exchange->End();
    return;
  }
  const SharedSession& session = this->sessions.at(id);
  session->stream_started = true;
  session->unread_since.reset();
  session->readers.push_back(std::move(exchange));
}

void AnswerSessions::EndAll() {
  std::vector<std::string> open;
  for (const auto& [id, session] : this->sessions) open.push_back(id);
  for (const std::string& id : open) {
    LOG(WARNING) << "the end of the process breaks off answer " << id;
    this->runner.Abandon(id);
  }
}

void AnswerSessions::CheckReaders() {
  const TimePoint now = this->loop.Now();
  std::vector<std::string> abandoned;
  for (const auto& [id, session] : this->sessions) {
    this->DropDisconnectedReaders(*session, now);
    const auto unread = session->unread_since;
    if (!unread) continue;
    const Duration grace = session->request.stream ? kResumeGrace : Duration(0);
    if (now - *unread >= grace) abandoned.push_back(id);
  }
  for (const std::string& id : abandoned) {
    this->metrics.Count("toucanwharf_answers_abandoned_total");
    this->runner.Abandon(id);
  }
  this->log.Expire(now);
  std::erase_if(this->ended_namings, [this](const auto& entry) {
    return !this->log.Contains(entry.first);
  });
  this->loop.After(kReaderCheckPeriod, [this] { this->CheckReaders(); });
}

void AnswerSessions::DropDisconnectedReaders(Session& session, TimePoint now) {
  std::erase_if(session.readers,
                [](const auto& reader) { return reader->IsDisconnected(); });
  if (!session.readers.empty() || session.unread_since) return;
  session.unread_since = now;
}

}  // namespace toucanwharf::daemon
