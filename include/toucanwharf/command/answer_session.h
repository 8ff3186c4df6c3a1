#ifndef TOUCANWHARF_COMMAND_ANSWER_SESSION_H_
#define TOUCANWHARF_COMMAND_ANSWER_SESSION_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/transport/event_stream.h"
#include "toucanwharf/transport/http_client.h"

namespace toucanwharf::command {

/// A request for a streamed model answer.
struct AnswerQuery {
  /// Whether to send chat messages (`/v1/chat/completions`) or a plain prompt
  /// (`/v1/completions`).
  bool chat = true;
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 64;
  std::uint64_t seed = 0;

  friend bool operator==(const AnswerQuery&, const AnswerQuery&) = default;
};

/// Why an answer is incomplete or missing.
struct AnswerFailure {
  int status = 0;
  std::string message;
  /// Whether the request ran: "no", "unknown" or "partly"; empty if not
  /// reported.
  std::string ran;
  /// Seconds to wait before a retry; 0 if not reported.
  std::uint64_t retry_after_s = 0;

  friend bool operator==(const AnswerFailure&, const AnswerFailure&) = default;
};

/// The next action of the caller: send the request, resume the answer, or stop.
struct AnswerStep {
  enum class Kind { kRequest, kResume, kEnd };

  Kind kind = Kind::kEnd;
  std::string entry;

  friend bool operator==(const AnswerStep&, const AnswerStep&) = default;
};

/// State machine of one streamed answer, across all connections that it needs.
///
/// Guards against an entry instance that dies, or whose connection stalls,
/// while tokens stream. A caller that treats the end of the connection as the
/// end of the answer shows a partial answer as complete; one that repeats the
/// request and appends the tokens shows some of them twice. The session
/// therefore treats an answer as complete only after its final event. Until
/// then it resumes the answer by its id at the other entry instances, from the
/// first missing token. If none of them knows the id, it repeats the request
/// with the same seed, which is safe for model work. Tokens are placed by
/// index, and a repeated token must equal the first one (I2).
///
/// Thread safety: none; no I/O.
class AnswerSession {
 public:
  enum class State { kRunning, kComplete, kRefused, kFailed };

  /// Precondition: \p entries is not empty; they are tried in this order.
  AnswerSession(AnswerQuery query, std::vector<std::string> entries);

  /// Returns the call to make now; unchanged until OnEnd.
  const AnswerStep& Next() const { return this->step; }
  /// Returns Next() as an HTTP call with \p key as bearer key.
  /// Precondition: Next() is not kEnd.
  transport::HttpCall Call(std::string_view key) const;

  /// Processes body bytes of the call; returns how many tokens they added.
  std::size_t OnBytes(std::string_view bytes);
  /// Processes the end of the call and updates Next().
  void OnEnd(const transport::HttpOutcome& outcome);

  State Status() const { return this->state; }
  const std::vector<std::string>& Tokens() const { return this->tokens; }
  /// Returns the request id of the last call, empty before its first event.
  const std::string& Id() const { return this->id; }
  /// Returns why Status() is kRefused or kFailed.
  const AnswerFailure& Failure() const { return this->failure; }
  /// Returns how many connections were lost after the call had been sent.
  std::uint32_t Interruptions() const { return this->interruptions; }

 private:
  void ProcessEvent(const std::string& data);
  void AddToken(std::uint64_t index, std::string text);
  void HandleRefusal(const transport::HttpOutcome& outcome);
  void ChooseNextStep();
  void Finish(State end);
  std::string NextEntry() const;

  AnswerQuery query;
  std::vector<std::string> entries;
  AnswerStep step;
  State state = State::kRunning;
  transport::EventStreamParser parser;
  std::vector<std::string> tokens;
  std::string id;
  AnswerFailure failure;
  std::set<std::string> resume_attempted_at;
  bool complete = false;
  bool failed = false;
  std::uint32_t interruptions = 0;
  std::uint32_t calls = 1;
};

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_COMMAND_ANSWER_SESSION_H_
