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
  /// Bytes of all retained answers, including the fixed cost of each. At the
  /// design peak (2.2 million tokens per second over 420 nodes, about 5 bytes
  /// and 32 bytes of overhead each) 8 MB hold what a node emits in 40 s.
  std::size_t max_bytes = std::size_t{8} * 1024 * 1024;
  /// How long an answer is retained after its end. Callers that lost their
  /// connection reconnect within seconds.
  Duration retention_after_end{std::chrono::seconds(60)};
};

/// The part of an answer that a resuming caller reads.
struct AnswerSlice {
  std::uint32_t first_index = 0;
  std::vector<std::string> tokens;
  /// How the answer ended; empty while it is in progress.
  std::optional<std::variant<Finish, Fail>> end;

  friend bool operator==(const AnswerSlice&, const AnswerSlice&) = default;
};

/// Recently emitted tokens, so that a caller whose connection failed can resume
/// by request id. Only the customer that sent the request can read its answer
/// (I2). Memory is bounded: the oldest answers are evicted first, ended ones
/// before others.
/// Thread safety: none; for one thread.
class AnswerLog {
 public:
  using End = std::variant<Finish, Fail>;

  explicit AnswerLog(AnswerLogLimits log_limits = {}) : limits(log_limits) {}

  /// Starts to retain the answer to \p request of \p customer.
  /// Precondition: the id is not retained yet.
  void Open(const std::string& request, const std::string& customer);
  /// Adds the next token. No effect if the answer was dropped.
  void Append(const std::string& request, const EmitToken& token);
  /// Records the answer's end at \p now. No effect if the answer was dropped.
  void Close(const std::string& request, const End& end, TimePoint now);
  /// Drops answers that ended `retention_after_end` or longer before \p now.
  void Expire(TimePoint now);

  /// Returns the tokens of \p request starting at index \p from. Errors:
  /// `kUnknownRequest` when it is not retained or belongs to another customer
  /// (the same error, so that ids can't be probed); `kIndexNotReached` when
  /// \p from is beyond the number of emitted tokens.
  Result<AnswerSlice> Read(const std::string& request,
                           const std::string& customer,
                           std::uint32_t from) const;

  /// Returns whether \p request is retained. Must not be exposed to callers: it
  /// doesn't check the customer.
  bool Contains(const std::string& request) const;
  /// Returns the bytes in use.
  std::size_t Bytes() const { return this->bytes; }

 private:
  struct Entry {
    std::string customer;
    std::vector<std::string> tokens;
    std::optional<End> end;
    std::size_t bytes = 0;
    std::uint64_t open_number = 0;
  };
  struct Ended {
    std::string request;
    TimePoint end_time;
  };

  void AddBytes(Entry& entry, std::size_t more);
  void Drop(const std::string& request);
  void EvictToLimit();

  AnswerLogLimits limits;
  std::map<std::string, Entry> entries;
  /// Request ids by the order they were opened in.
  std::map<std::uint64_t, std::string> by_open_order;
  std::uint64_t last_open_number = 0;
  /// In the order they ended; may name answers that were dropped since.
  std::deque<Ended> ended;
  std::size_t bytes = 0;
};

}  // namespace toucanwharf::pipeline

#endif  // TOUCANWHARF_PIPELINE_ANSWER_LOG_H_
