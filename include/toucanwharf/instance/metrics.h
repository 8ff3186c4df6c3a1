#ifndef TOUCANWHARF_INSTANCE_METRICS_H_
#define TOUCANWHARF_INSTANCE_METRICS_H_

#include <cstdint>
#include <string>

#include "toucanwharf/instance/gateway.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::instance {

/// Returns the metrics of what waits, and how long it waited, in the Prometheus
/// text format. Only ranks that wait or have waited have lines.
/// Thread safety: safe.
std::string WaitMetricsText(const WaitingByRank& waiting,
                            const WaitsByRank& waits);

/// Returns the process's metrics in the Prometheus text format.
/// Thread safety: only on the loop's thread.
std::string MetricsText(const Gateway& gateway, const InstanceState& state,
                        std::uint64_t log_lines_dropped, TimePoint now);

/// Returns how far the resources of the process are used, in the Prometheus
/// text format. Thread safety: on the loop's thread.
std::string ResourceMetricsText(const http::Resources& resources);

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_METRICS_H_
