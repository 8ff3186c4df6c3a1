#ifndef TOUCANWHARF_DAEMON_METRICS_H_
#define TOUCANWHARF_DAEMON_METRICS_H_

// Boost's quantile header uses std::ostringstream without including it.
#include <sstream>
//
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "toucanwharf/support/clock.h"

namespace toucanwharf::daemon {

/// Counters, gauges and latency summaries of one process, in the text format
/// that Prometheus reads.
/// Thread safety: none; for the loop's thread.
class Metrics {
 public:
  /// Adds \p by to the counter \p name, such as
  /// `toucanwharf_refusals_total{reason="busy"}`.
  void Count(std::string_view name, std::uint64_t by = 1);

  /// Sets the gauge \p name.
  void Set(std::string_view name, double value);

  /// Adds one sample to the summary \p name, which is rendered in seconds.
  void Observe(std::string_view name, Duration value);

  /// Returns the value of a counter, 0 if it was never incremented.
  std::uint64_t Value(std::string_view name) const;

  /// Returns all metrics as text.
  std::string Render() const;

 private:
  using Summary = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count, boost::accumulators::tag::sum,
          boost::accumulators::tag::extended_p_square_quantile>>;

  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::map<std::string, double, std::less<>> gauges;
  std::map<std::string, Summary, std::less<>> summaries;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_METRICS_H_
