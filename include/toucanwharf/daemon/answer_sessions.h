#ifndef TOUCANWHARF_DAEMON_ANSWER_SESSIONS_H_
#define TOUCANWHARF_DAEMON_ANSWER_SESSIONS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "toucanwharf/daemon/answer_runner.h"
#include "toucanwharf/daemon/openai.h"
#include "toucanwharf/daemon/refusal.h"
#include "toucanwharf/pipeline/answer_log.h"
#include "toucanwharf/transport/event_loop.h"
#include "toucanwharf/transport/http_server.h"

namespace toucanwharf::daemon {

/// An accepted model request and how its answer is sent.
struct SessionRequest {
  AnswerJob job;
  std::string customer;
  CompletionNaming naming;
  bool stream = false;

  friend bool operator==(const SessionRequest&,
                         const SessionRequest&) = default;
};

/// The part of an answer that a reader has not received yet.
struct AnswerTail {
  /// Server-sent events in the form sent to callers.
  std::string events;
  /// Index of the token after these.
  std::uint32_t next = 0;
  /// Whether the events include the answer's end.
  bool ended = false;

  friend bool operator==(const AnswerTail&, const AnswerTail&) = default;
};

/// Connects running answers with the callers that read them.
///
/// When a caller disconnects, a streamed answer keeps running for a grace
/// period so that the caller can resume it by request id. An answer that is
/// sent whole is abandoned without one: its caller does not know the id.
/// Thread safety: none; for the loop's thread.
class AnswerSessions {
 public:
  /// Precondition: all references outlive the object.
  AnswerSessions(transport::EventLoop& loop, AnswerRunner& runner,
                 Metrics& metrics);

  /// Starts the periodic check for disconnected callers.
  /// Precondition: called once.
  void Start();

  /// Runs \p request and sends its answer or refusal to \p exchange.
  /// Precondition: the exchange has no answer yet.
  void Open(SessionRequest request,
            std::shared_ptr<transport::Exchange> exchange);

  /// Streams the answer \p id from index \p from to \p exchange, or refuses
  /// when it is not retained here for \p customer (I2).
  /// Precondition: the exchange has no answer yet.
  void Resume(const std::string& id, const std::string& customer,
              std::uint32_t from,
              std::shared_ptr<transport::Exchange> exchange);

  /// Returns the available part of the answer \p id from index \p from on.
  /// Restarts the grace period of an answer that has no reader. Errors: those
  /// of pipeline::AnswerLog::Read.
  Result<AnswerTail> Tail(const std::string& id, const std::string& customer,
                          std::uint32_t from);

  /// Returns whether the answer \p id of any customer is retained here.
  bool Contains(const std::string& id) const { return this->log.Contains(id); }

  /// Ends all answers, as the process ends: their readers are told.
  void EndAll();

  /// Returns the number of answers queued or running.
  std::size_t Running() const { return this->sessions.size(); }

 private:
  struct Session;
  using SharedSession = std::shared_ptr<Session>;

  void OnToken(const SharedSession& session, const pipeline::EmitToken& token);
  void OnFinish(const SharedSession& session, const pipeline::Finish& finish);
  void OnRefusal(const SharedSession& session,
                 const admission::Refusal& refused);
  void SendRefusal(const SharedSession& session, const Refusal& refusal);
  void OnFail(const SharedSession& session, const pipeline::Fail& fail);
  void RemoveSession(const SharedSession& session);
  void CheckReaders();
  void DropDisconnectedReaders(Session& session, TimePoint now);

  transport::EventLoop& loop;
  AnswerRunner& runner;
  Metrics& metrics;
  pipeline::AnswerLog log;
  std::map<std::string, SharedSession> sessions;
  /// Naming of ended answers that are still in the log.
  std::map<std::string, CompletionNaming> ended_namings;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_ANSWER_SESSIONS_H_
