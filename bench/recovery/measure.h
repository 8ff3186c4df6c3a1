#ifndef TOUCANWHARF_BENCH_RECOVERY_MEASURE_H_
#define TOUCANWHARF_BENCH_RECOVERY_MEASURE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Figures of the recovery benchmark, from the times at which a caller read
/// the tokens of an answer. All times are microseconds of the steady clock.
namespace toucanwharf::bench {

/// What one answer's caller saw of one fault.
struct Sample {
  /// From the fault to the next right token.
  std::int64_t next_token = 0;
  /// From the fault to the last token that came after a long gap: from then on
  /// the answer has its old pace.
  std::int64_t old_pace = 0;
};

/// p50, p95 and the largest of some numbers.
struct Spread {
  std::int64_t p50 = 0;
  std::int64_t p95 = 0;
  std::int64_t max = 0;

  friend bool operator==(const Spread&, const Spread&) = default;
};

/// Mean times of the routers' own recoveries, from their metrics.
struct Split {
  double noticing_ms = 0;
  double replanning_ms = 0;
  double resuming_ms = 0;

  friend bool operator==(const Split&, const Split&) = default;
};

/// One line of the table.
struct Row {
  std::string deployment;
  std::string fault;
  std::size_t answers = 0;
  /// Answers that were not whole and right.
  std::size_t wrong = 0;
  Spread next_token;
  Spread old_pace;
  Split split;
};

/// Returns what a caller that read tokens at \p token_micros saw of a fault at
/// \p fault. Precondition: some token came before the fault and some after.
/// Thread safety: safe.
Sample SampleOf(const std::vector<std::int64_t>& token_micros,
                std::int64_t fault);

/// Returns the spread of \p values; zeros if there are none.
/// Thread safety: safe.
Spread SpreadOf(std::vector<std::int64_t> values);

/// Prints \p rows as a table to read, and as one line of JSON with \p seed.
void Print(const std::vector<Row>& rows, std::uint64_t seed);

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_RECOVERY_MEASURE_H_
