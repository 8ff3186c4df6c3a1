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

/// A streamed model answer that a caller wants.
struct AnswerQuery {
  /// Whether messages (`/v1/chat/completions`) or a prompt goes out.
  bool chat = true;
  std::string model;
  std::string prompt;
  std::uint32_t max_tokens = 64;
  std::uint64_t seed = 0;

  friend bool operator==(const AnswerQuery&, const AnswerQuery&) = default;
};

/// Why there is no whole answer.
struct AnswerFailure {
  int status = 0;
  std::string message;
  /// "no", "unknown" or "partly"; empty when nobody said.
  std::string ran;
  /// Seconds after which to come back; 0 when nobody said.
  std::uint64_t retry_after_s = 0;

  friend bool operator==(const AnswerFailure&, const AnswerFailure&) = default;
};

/// What the caller has to do next.
struct AnswerStep {
  enum class Kind { kAsk, kResume, kEnd };

  Kind kind = Kind::kEnd;
  std::string entry;

  friend bool operator==(const AnswerStep&, const AnswerStep&) = default;
};

/// One streamed answer over all the connections that it takes.
///
/// Failure guarded against: the entry instance dies or its connection goes
/// silent while tokens stream. A caller that takes the end of the connection
/// for the end of the answer shows half an answer as a whole one; one that
/// asks anew and appends shows words twice. The guard: the answer is whole
/// only after its final event; before that the answer is resumed by its id
/// from the other entry instances, from the first token that is missing; if
/// none of them knows it, it is asked for anew with the same seed, which model
/// work allows. Tokens are placed by their index, and one that comes twice has
/// to be the same (I2).
///
/// Thread safety: none; no I/O.
class AnswerSession {
 public:
  enum class State { kRunning, kWhole, kRefused, kBroken };

  /// Preconditions: \p entries is not empty; its order is the order of trial.
  AnswerSession(AnswerQuery query, std::vector<std::string> entries);

  /// Returns the call to make now; the same until OnEnd.
  const AnswerStep& Next() const { return this->step; }
  /// Returns Next() as an HTTP call with \p key as bearer key.
  /// Precondition: Next() is not kEnd.
  transport::HttpCall Call(std::string_view key) const;

  /// Takes body bytes of the call and returns how many tokens they added.
  std::size_t OnBytes(std::string_view bytes);
  /// Takes the end of the call; Next() tells what follows.
  void OnEnd(const transport::HttpOutcome& outcome);

  State Status() const { return this->state; }
  const std::vector<std::string>& Tokens() const { return this->tokens; }
  /// Returns the request id of the last call, empty before its first event.
  const std::string& Id() const { return this->id; }
  /// Returns why Status() is kRefused or kBroken.
  const AnswerFailure& Failure() const { return this->failure; }
  /// Returns how many connections were lost after the call had been sent.
  std::uint32_t Interruptions() const { return this->interruptions; }

 private:
  void TakeEvent(const std::string& data);
  void TakeToken(std::uint64_t index, std::string text);
  void TakeRefusal(const transport::HttpOutcome& outcome);
  void GoOn();
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
  std::set<std::string> asked_to_resume;
  bool complete = false;
  bool failed = false;
  std::uint32_t interruptions = 0;
  std::uint32_t calls = 1;
};

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_COMMAND_ANSWER_SESSION_H_
