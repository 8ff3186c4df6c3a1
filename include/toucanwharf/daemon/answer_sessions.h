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

/// A model request that was let in.
struct SessionRequest {
  AnswerJob job;
  std::string customer;
  CompletionNaming naming;
  bool stream = false;

  friend bool operator==(const SessionRequest&,
                         const SessionRequest&) = default;
};

/// What a reader of an answer gets next.
struct AnswerTail {
  /// Server-sent events, as the caller gets them.
  std::string events;
  /// Index of the token after these.
  std::uint32_t next = 0;
  /// Whether the events hold the answer's end.
  bool ended = false;

  friend bool operator==(const AnswerTail&, const AnswerTail&) = default;
};

/// Joins running answers with the callers that read them.
///
/// A streamed answer whose caller's connection broke runs on for a short while
/// so that the caller can read on by request id; one that is sent whole is
/// given up with its caller, who does not know its id.
/// Thread safety: none; for the loop's thread.
class AnswerSessions {
 public:
  /// Precondition: all references outlive the object.
  AnswerSessions(transport::EventLoop& loop, AnswerRunner& runner,
                 Metrics& metrics);

  /// Begins to look for callers that left. Precondition: called once.
  void Start();

  /// Runs \p request and sends what comes of it to \p exchange.
  /// Precondition: the exchange has no answer yet.
  void Open(SessionRequest request,
            std::shared_ptr<transport::Exchange> exchange);

  /// Streams the answer \p id from index \p from to \p exchange, or refuses
  /// when it is not kept here for \p customer (I2).
  /// Precondition: the exchange has no answer yet.
  void Resume(const std::string& id, const std::string& customer,
              std::uint32_t from,
              std::shared_ptr<transport::Exchange> exchange);

  /// Returns what there is of the answer \p id from index \p from on. Counts as
  /// a reader: the answer is not given up for a while. Errors: those of
  /// pipeline::AnswerLog::Read.
  Result<AnswerTail> Tail(const std::string& id, const std::string& customer,
                          std::uint32_t from);

  /// Returns whether the answer \p id is kept here, whoever's it is.
  bool Contains(const std::string& id) const { return this->log.Contains(id); }

  /// Returns the number of answers under way.
  std::size_t Running() const { return this->sessions.size(); }

 private:
  struct Session;
  using Shared = std::shared_ptr<Session>;

  void TakeToken(const Shared& session, const pipeline::EmitToken& token);
  void TakeFinish(const Shared& session, const pipeline::Finish& finish);
  void TakeRefusal(const Shared& session, const admission::Refusal& refused);
  void SendRefusal(const Shared& session, const Refusal& refusal);
  void TakeFail(const Shared& session, const pipeline::Fail& fail);
  void Forget(const Shared& session);
  void LookForLeftCallers();
  void DropLeft(Session& session, TimePoint now);

  transport::EventLoop& loop;
  AnswerRunner& runner;
  Metrics& metrics;
  pipeline::AnswerLog log;
  std::map<std::string, Shared> sessions;
  /// How answers that are only in the log were named.
  std::map<std::string, CompletionNaming> ended;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_ANSWER_SESSIONS_H_
