#ifndef TOUCANWHARF_ADMISSION_ANSWER_TIMES_H_
#define TOUCANWHARF_ADMISSION_ANSWER_TIMES_H_

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::admission {

/// How long the last answers of each route took.
/// Thread safety: none; for one thread.
class AnswerTimes {
 public:
  /// Records an answer of \p route that was whole \p took after its request.
  void Record(const std::string& route, Duration took);
  /// Returns the median of the last answers of \p route; nothing if there were
  /// none.
  std::optional<Duration> MedianOf(const std::string& route) const;
  /// The same of the longest.
  std::optional<Duration> LongestOf(const std::string& route) const;

 private:
  std::map<std::string, std::deque<Duration>> routes;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_ANSWER_TIMES_H_
