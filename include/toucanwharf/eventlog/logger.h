#ifndef TOUCANWHARF_EVENTLOG_LOGGER_H_
#define TOUCANWHARF_EVENTLOG_LOGGER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "toucanwharf/support/clock.h"

/// Structured log lines, one JSON object each, that never block their writer.
namespace toucanwharf::eventlog {

/// What is dropped first when there are too many lines.
enum class Level {
  /// What happens to every request; sampled.
  kRoutine,
  /// Refusals, failures, and changes of what the process believes.
  kNotable,
};

/// The members of one line, in the order in which they are added.
/// Thread safety: none.
class Fields {
 public:
  Fields& Text(std::string_view name, std::string_view value);
  Fields& Count(std::string_view name, std::int64_t value);
  /// Adds a time in milliseconds.
  Fields& Millis(std::string_view name, Duration value);

  /// Adds the members of \p more.
  Fields& Append(const Fields& more) {
    this->json.append(more.json);
    return *this;
  }

  const std::string& Json() const { return this->json; }

 private:
  void Name(std::string_view name);

  std::string json;
};

/// Bounds on the volume, with the reason of each.
struct LoggerSettings {
  /// Lines a second. A line costs about 5 us to build and write, so 200 of
  /// each level take at most 0.2% of a core.
  double routine_per_second = 20;
  double notable_per_second = 200;
  /// Lines that may come at once after a quiet time.
  double burst_seconds = 2;
  /// Bytes that wait for a reader that is slow or gone.
  std::size_t most_buffered = 256UL * 1024;
};

/// Collects lines and writes them to a descriptor without ever waiting for it.
/// Thread safety: none; for one thread.
class Logger {
 public:
  /// Writes to \p descriptor lines that name the process \p instance.
  Logger(int descriptor, std::string instance,
         const LoggerSettings& chosen = {});

  /// Adds a line about \p event unless there were too many; \p now is the
  /// boot clock's.
  void Write(Level level, std::string_view event, const Fields& fields,
             TimePoint now);
  /// Writes what the descriptor takes now.
  void Flush();
  /// Returns how many lines were dropped.
  std::uint64_t Dropped() const { return this->dropped; }
  /// Returns the bytes that wait.
  std::size_t Buffered() const { return this->buffer.size(); }

 private:
  struct Allowance {
    double per_second = 0;
    double tokens = 0;
    TimePoint filled;
  };

  bool Take(Allowance& from, TimePoint now) const;
  void Append(std::string_view event, const Fields& fields);

  int descriptor;
  std::string instance;
  LoggerSettings settings;
  Allowance routine;
  Allowance notable;
  std::string buffer;
  std::uint64_t dropped = 0;
  std::uint64_t dropped_told = 0;
};

}  // namespace toucanwharf::eventlog

#endif  // TOUCANWHARF_EVENTLOG_LOGGER_H_
