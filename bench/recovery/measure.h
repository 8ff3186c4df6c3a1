#ifndef TOUCANWHARF_BENCH_RECOVERY_MEASURE_H_
#define TOUCANWHARF_BENCH_RECOVERY_MEASURE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Statistics of the recovery benchmark, from the times at which a caller read
/// the tokens of an answer. Times are microseconds of the steady clock.
namespace toucanwharf::bench {

/// Recovery times of one answer after one fault, as its caller saw them.
struct Sample {
  /// From the fault to the next token that the fault delayed.
  std::int64_t next_token = 0;
  /// From the fault to the last token after a long gap: from then on the token
  /// rate is the one before the fault.
  std::int64_t pace_restored = 0;
};

struct Quantiles {
  std::int64_t p50 = 0;
  std::int64_t p95 = 0;
  std::int64_t max = 0;

  friend bool operator==(const Quantiles&, const Quantiles&) = default;
};

/// Mean duration of each phase of a recovery, from the routers' metrics.
struct RecoveryPhases {
  double detection_ms = 0;
  double replanning_ms = 0;
  double resumption_ms = 0;

  friend bool operator==(const RecoveryPhases&,
                         const RecoveryPhases&) = default;
};

/// One line of the table: one fault in one deployment.
struct Row {
  std::string deployment;
  std::string fault;
  std::size_t answers = 0;
  /// Answers that were incomplete or had wrong tokens.
  std::size_t wrong = 0;
  Quantiles next_token;
  Quantiles pace_restored;
  RecoveryPhases phases;
};

/// Returns the recovery times for tokens read at \p token_micros and a fault at
/// \p fault. Precondition: tokens were read before and after the fault.
/// Thread safety: safe.
Sample MakeSample(const std::vector<std::int64_t>& token_micros,
                  std::int64_t fault);

/// Returns the quantiles of \p values; zeros if there are none.
/// Thread safety: safe.
Quantiles QuantilesOf(std::vector<std::int64_t> values);

/// Prints \p rows as a table, and as one line of JSON with \p seed.
void Print(const std::vector<Row>& rows, std::uint64_t seed);

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_RECOVERY_MEASURE_H_
