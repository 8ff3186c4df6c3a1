#ifndef TOUCANWHARF_PIPELINE_ANSWER_LOG_H_
#define TOUCANWHARF_PIPELINE_ANSWER_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "toucanwharf/pipeline/answer.h"
#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/result.h"

namespace toucanwharf::pipeline {

/// Bounds of an `AnswerLog`.
struct AnswerLogLimits {
  /// Bytes of all kept answers, tokens and fixed cost together. At the
  /// target's peak (2.2 million tokens a second over 420 nodes, some 5 bytes
  /// and 32 of bookkeeping each) 8 MB hold what a node emits in 40 s.
  std::size_t bytes = std::size_t{8} * 1024 * 1024;
  /// How long an answer is kept after its end: callers that lost their
  /// connection come back within seconds.
  Duration after_end{std::chrono::seconds(60)};
};

/// What a resuming caller reads.
struct AnswerSlice {
  std::uint32_t first_index = 0;
  std::vector<std::string> tokens;
  /// How the answer ended, if it has.
  std::optional<std::variant<Finish, Fail>> end;

  friend bool operator==(const AnswerSlice&, const AnswerSlice&) = default;
};

/// Tokens handed out lately, so that a caller whose own connection broke reads
/// on by request id. Only the customer that asked can read an answer (I2).
/// Memory is bounded: the oldest answers go first, ended ones before others.
/// Thread safety: none; for one thread.
class AnswerLog {
 public:
  using End = std::variant<Finish, Fail>;

  explicit AnswerLog(AnswerLogLimits log_limits = {}) : limits(log_limits) {}

  /// Begins to keep the answer to \p request of \p customer.
  /// Precondition: the id is not kept yet.
  void Open(const std::string& request, const std::string& customer);
  /// Adds the next token. Without effect if the answer was dropped.
  void Append(const std::string& request, const EmitToken& token);
  /// Notes the answer's end at \p now. Without effect if it was dropped.
  void Close(const std::string& request, const End& end, TimePoint now);
  /// Drops answers whose time after the end has passed.
  void Expire(TimePoint now);

  /// Returns the tokens of \p request from index \p from on. Errors:
  /// `kUnknownRequest` when it is not kept or belongs to another customer (the
  /// same error, so that ids can't be guessed); `kNotReached` when \p from
  /// lies beyond what was handed out.
  Result<AnswerSlice> Read(const std::string& request,
                           const std::string& customer,
                           std::uint32_t from) const;

  /// Returns whether \p request is kept. Not for callers: it ignores whose it
  /// is.
  bool Contains(const std::string& request) const;
  /// Returns the bytes in use.
  std::size_t Bytes() const { return this->bytes; }

 private:
  struct Entry {
    std::string customer;
    std::vector<std::string> tokens;
    std::optional<End> end;
    std::size_t bytes = 0;
    std::uint64_t age = 0;
  };
  struct Ended {
    std::string request;
    TimePoint at;
  };

  void Grow(Entry& entry, std::size_t more);
  void Drop(const std::string& request);
  void MakeRoom();

  AnswerLogLimits limits;
  std::map<std::string, Entry> entries;
  /// Request ids by the order they were opened in.
  std::map<std::uint64_t, std::string> by_age;
  std::uint64_t last_age = 0;
  /// In the order they ended; may name dropped ones.
  std::deque<Ended> ended;
  std::size_t bytes = 0;
};

}  // namespace toucanwharf::pipeline

#endif  // TOUCANWHARF_PIPELINE_ANSWER_LOG_H_
