#ifndef TOUCANWHARF_ADMISSION_ANSWER_METER_H_
#define TOUCANWHARF_ADMISSION_ANSWER_METER_H_

#include <algorithm>
#include <cmath>
#include <optional>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::admission {

/// Measures how many answers end per second, exponentially weighted. Unlike
/// limits::DemandMeter it doesn't report too little in the first seconds after
/// a start, and reports nothing from too few answers.
/// Thread safety: none; for one thread.
class AnswerMeter {
 public:
  /// Time constant of the decay.
  static constexpr Duration kMemory = std::chrono::seconds(2);
  /// The rate of fewer answers is chance.
  static constexpr double kMinAnswers = 3;
  /// Answers that end together at first count as those of this time.
  static constexpr Duration kMinAge = std::chrono::milliseconds(500);
  /// After a gap of this length the measurement starts again.
  static constexpr Duration kMaxGap = 2 * kMemory;

  /// Records that an answer has ended.
  void Record(TimePoint now) {
    if (!this->last || now - *this->last >= kMaxGap) {
      this->began = now;
      this->answers = 0;
    }
    this->answers = this->Decayed(now) + 1;
    this->last = now;
  }

  /// Returns the answers per second; 0 if unknown.
  double PerSecond(TimePoint now) const {
    const double recent = this->Decayed(now);
    if (recent < kMinAnswers) return 0;
    const Duration age = std::max(now - this->began, kMinAge);
    const double observed = 1 - std::exp(-InMemories(age));
    return recent / (std::chrono::duration<double>(kMemory).count() * observed);
  }

 private:
  static double InMemories(Duration length) {
    return std::chrono::duration<double>(length) /
           std::chrono::duration<double>(kMemory);
  }
  double Decayed(TimePoint now) const {
    if (!this->last) return 0;
    return this->answers * std::exp(-InMemories(now - *this->last));
  }

  /// Decayed number of answers at the time of the last one.
  double answers = 0;
  std::optional<TimePoint> last;
  TimePoint began;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_ANSWER_METER_H_
