#include "toucanwharf/instance/metrics.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

#include "absl/strings/str_cat.h"

namespace toucanwharf::instance {
namespace {

constexpr double kMicrosPerSecond = 1e6;

/// Appends metrics in the Prometheus text format.
class Writer {
 public:
  void Counter(const char* name, const char* help, std::uint64_t value) {
    this->Head(name, help, "counter");
    absl::StrAppend(&this->text, "toucanwharf_", name, "_total ", value, "\n");
  }
  void Gauge(const char* name, const char* help, double value) {
    this->Head(name, help, "gauge");
    absl::StrAppend(&this->text, "toucanwharf_", name, " ", value, "\n");
  }
  void Latencies(const char* name, const char* help,
                 const LatencyHistogram& values) {
    this->Head(name, help, "histogram");
    this->Histogram(name, "", values);
  }
  /// Only ranks that wait have a line.
  void Waiting(const WaitingByRank& waiting) {
    constexpr const char* kName = "waiting";
    this->Head(kName, "requests that wait for room, by rank", "gauge");
    for (std::size_t rank = 0; rank < waiting.size(); ++rank) {
      if (waiting.at(rank).requests == 0) continue;
      absl::StrAppend(&this->text, "toucanwharf_", kName, "{", RankLabel(rank),
                      "} ", waiting.at(rank).requests, "\n");
    }
  }
  /// Only ranks that have waited have lines.
  void Waited(const WaitsByRank& waits) {
    constexpr const char* kName = "waited_seconds";
    this->Head(kName, "time that requests waited for room, by rank",
               "histogram");
    for (std::size_t rank = 0; rank < waits.size(); ++rank) {
      if (waits.at(rank) == LatencyHistogram{}) continue;
      this->Histogram(kName, RankLabel(rank), waits.at(rank));
    }
  }
  std::string Take() { return std::move(this->text); }

 private:
  static std::string RankLabel(std::size_t rank) {
    return absl::StrCat("rank=\"", rank, "\"");
  }
  /// Appends the samples of one histogram. \p label is empty if its name has
  /// only one.
  void Histogram(const char* name, const std::string& label,
                 const LatencyHistogram& values) {
    const std::string first = label.empty() ? "" : label + ",";
    const std::string labels = label.empty() ? "" : "{" + label + "}";
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < LatencyHistogram::kBounds.size(); ++i) {
      sum += values.counts[i];
      const double bound =
          static_cast<double>(LatencyHistogram::kBounds[i].count()) /
          kMicrosPerSecond;
      absl::StrAppend(&this->text, "toucanwharf_", name, "_bucket{", first,
                      "le=\"", bound, "\"} ", sum, "\n");
    }
    sum += values.counts.back();
    absl::StrAppend(
        &this->text, "toucanwharf_", name, "_bucket{", first, "le=\"+Inf\"} ",
        sum, "\n", "toucanwharf_", name, "_count", labels, " ", sum, "\n",
        "toucanwharf_", name, "_sum", labels, " ",
        static_cast<double>(values.sum.count()) / kMicrosPerSecond, "\n");
  }
  void Head(const char* name, const char* help, const char* type) {
    const char* suffix = std::string_view(type) == "counter" ? "_total" : "";
    absl::StrAppend(&this->text, "# HELP toucanwharf_", name, suffix, " ", help,
                    "\n# TYPE toucanwharf_", name, suffix, " ", type, "\n");
  }

  std::string text;
};

/// Returns -1 for an unknown age.
double SecondsOf(const std::optional<Duration>& age) {
  if (!age) return -1;
  return static_cast<double>(age->count()) / kMicrosPerSecond;
}

std::ptrdiff_t SuspectedCount(const InstanceState& state, TimePoint now) {
  const auto& all = state.endpoints.All();
  return std::count_if(all.begin(), all.end(), [&](const auto& entry) {
    return state.IsAvoided(entry.first, now);
  });
}

}  // namespace

std::string WaitMetricsText(const WaitingByRank& waiting,
                            const WaitsByRank& waits) {
  Writer writer;
  writer.Waiting(waiting);
  writer.Waited(waits);
  return writer.Take();
}

std::string MetricsText(const Gateway& gateway, const InstanceState& state,
                        std::uint64_t log_lines_dropped, TimePoint now) {
  const GatewayCounters& counters = gateway.Counters();
  Writer writer;
  writer.Counter("requests", "requests received", counters.received);
  writer.Counter("answered", "requests answered with success",
                 counters.answered);
  writer.Counter("refused", "requests refused as not run", counters.refused);
  writer.Counter("failed", "requests that ended in a failure", counters.failed);
  writer.Counter("broken_off", "answers broken off in the middle",
                 counters.aborted);
  writer.Counter("timed_out", "requests whose time was over",
                 counters.timed_out);
  writer.Counter("left_by_caller", "requests whose caller left",
                 counters.caller_disconnected);
  writer.Counter("tried_again", "requests sent to another endpoint",
                 counters.retried);
  writer.Counter("resumed", "answers that went on at another engine",
                 counters.resumed);
  writer.Counter("stalls", "answers that an engine of the path held up",
                 counters.stalls);
  writer.Counter("repathed", "answers led around an engine", counters.rerouted);
  writer.Counter("queued", "requests that waited for room", counters.queued);
  writer.Counter("extra_arrivals",
                 "arrivals at endpoints beyond the first of a request",
                 counters.extra_arrivals);
  writer.Counter("budget_requests",
                 "requests counted for the budget of extra arrivals",
                 counters.budget_requests);
  writer.Counter("retries_denied",
                 "further tries that the budget of extra arrivals forbade",
                 counters.retries_denied);
  writer.Counter("broken_runs", "runs whose connection to the endpoint broke",
                 counters.broken_runs);
  writer.Counter("broken_runs_uncounted",
                 "broken runs that had come too far to "
                 "count at a crash",
                 counters.broken_runs_uncounted);
  writer.Counter("broken_runs_outlived",
                 "times that an endpoint went on after a run there had broken",
                 counters.broken_runs_outlived);
  writer.Counter("suspects_sent",
                 "tries of requests with something that was at a crash",
                 counters.suspects_sent);
  writer.Counter("quarantined", "requests refused because they crash endpoints",
                 counters.quarantined);
  writer.Counter("claims_unreadable",
                 "requests whose stated size can't be used",
                 counters.claims_unreadable);
  writer.Counter("limits_unreadable", "limits of endpoints that say nothing",
                 counters.limits_unreadable);
  writer.Counter("endpoints_leaving",
                 "endpoints that said in an answer that they leave",
                 counters.endpoints_leaving);
  writer.Counter("pauses_requested", "pauses that endpoints asked for",
                 counters.pauses_requested);
  writer.Counter("pauses_unreadable",
                 "refusals of endpoints whose Retry-After says nothing",
                 counters.pauses_unreadable);
  writer.Counter("forwarded", "requests forwarded to another instance",
                 counters.forwarded);
  writer.Counter("forwarded_here", "requests forwarded by other instances",
                 counters.forwarded_here);
  writer.Counter("forwards_rejected",
                 "requests of other instances that were not taken",
                 counters.forwards_rejected);
  writer.Counter("taken_while_stopping",
                 "requests taken after the signal to stop",
                 counters.taken_while_stopping);
  writer.Latencies("plain_seconds", "time to the end of a plain answer",
                   counters.plain_latency);
  writer.Latencies("first_event_seconds", "time to a stream's first event",
                   counters.first_event_latency);
  writer.Gauge("under_way", "requests under way",
               static_cast<double>(gateway.InFlight()));
  writer.Gauge("budget_instances",
               "instances that share the budget of extra arrivals, 0 while "
               "that isn't known",
               static_cast<double>(gateway.Sharers().instances));
  writer.Gauge("configuration_revision",
               "store's revision of the configuration in force",
               static_cast<double>(state.configuration.revision.number));
  writer.Gauge("configuration_version",
               "operator's version of the configuration in force",
               static_cast<double>(state.configuration.version));
  writer.Gauge("store_epoch",
               "the store's epoch, which rises with each return from a copy",
               static_cast<double>(state.epochs.Epoch().value_or(0)));
  writer.Gauge("endpoints_corrected",
               "entries of the newest list that are older than what is known",
               static_cast<double>(state.endpoints.CorrectedCount()));
  writer.Gauge("configuration_age_seconds",
               "age of the proof that it is current, -1 for none",
               SecondsOf(state.freshness.Age(now)));
  writer.Counter("older_store_answers",
                 "answers of the store that were older than what was known",
                 state.older_store_answers);
  writer.Gauge("endpoints", "endpoints registered",
               static_cast<double>(state.endpoints.All().size()));
  writer.Gauge("endpoints_kept",
               "endpoints in use though the newest list lacks them",
               static_cast<double>(state.endpoints.RetainedCount()));
  writer.Gauge("endpoints_suspected",
               "endpoints that get no new work, by own findings or by the word "
               "of other instances",
               static_cast<double>(SuspectedCount(state, now)));
  writer.Gauge("isolated", "whether no endpoint can be reached from here",
               state.paths.IsIsolated() ? 1 : 0);
  writer.Gauge("peers", "other instances heard of lately",
               static_cast<double>(state.peers.AllLive(now).size()));
  writer.Gauge("endpoints_limited", "endpoints that state a limit",
               static_cast<double>(state.limits.Count(now)));
  writer.Gauge("endpoints_paused", "endpoints that asked for a pause",
               static_cast<double>(state.pauses.Count(now)));
  writer.Gauge("suspects", "requests that were at a crash of an endpoint",
               static_cast<double>(state.quarantine.Size()));
  writer.Gauge("suspects_refused", "suspects that are refused",
               static_cast<double>(state.quarantine.BlockedCount(now)));
  writer.Gauge("ready", "whether callers are sent here",
               state.Ready(now) ? 1 : 0);
  writer.Gauge("leads", "whether this instance places layers",
               state.leads ? 1 : 0);
  writer.Gauge("layout_answers_per_second",
               "capacity of the layout, 0 unless this instance leads",
               state.layout_rate);
  writer.Gauge("layout_best_answers_per_second",
               "the same of the best layout known for these engines",
               state.best_layout_rate);
  writer.Counter("log_lines_dropped", "log lines dropped", log_lines_dropped);
  return writer.Take() + WaitMetricsText(gateway.Waiting(), counters.waits);
}

std::string ResourceMetricsText(const http::Resources& resources) {
  using resources::ConnectionUse;
  const auto real = [](std::size_t value) {
    return static_cast<double>(value);
  };
  const resources::Account& buffers = resources.buffers;
  const resources::Descriptors& descriptors = resources.descriptors;
  const http::ResourceCounters& counters = resources.counters;
  Writer writer;
  writer.Gauge("buffered_bytes",
               "memory of requests, and of answers that wait to be read",
               real(buffers.Used()));
  writer.Gauge("buffered_peak_bytes", "largest value of buffered_bytes so far",
               real(buffers.Peak()));
  writer.Gauge("buffered_limit_bytes",
               "value of buffered_bytes at which requests are refused",
               real(buffers.Capacity()));
  writer.Gauge("answer_bytes",
               "memory of what calls hold of answers before it is passed on",
               real(resources.answers.Used()));
  writer.Gauge("answer_peak_bytes", "largest value of answer_bytes so far",
               real(resources.answers.Peak()));
  writer.Gauge("answer_limit_bytes",
               "value of answer_bytes at which calls are ended",
               real(resources.answers.Capacity()));
  writer.Gauge("caller_connections", "open connections of callers",
               real(descriptors.Used(ConnectionUse::kCaller)));
  writer.Gauge("control_connections",
               "open connections to the addresses that callers don't use",
               real(descriptors.Used(ConnectionUse::kControl)));
  writer.Gauge("call_connections",
               "open connections to endpoints, peers and the store",
               real(descriptors.Used(ConnectionUse::kCall)));
  writer.Gauge("peak_connections", "most connections open so far",
               real(descriptors.Peak()));
  writer.Gauge("limit_connections", "connections that may be open",
               real(descriptors.Capacity()));
  writer.Counter("evicted_requests",
                 "requests refused before they were whole, for lack of memory",
                 counters.evicted_requests);
  writer.Counter("evicted_readers",
                 "connections closed whose answers were not read, for lack of "
                 "memory",
                 counters.evicted_readers);
  writer.Counter("evicted_answers",
                 "calls ended that held most of their answers, for lack of "
                 "memory",
                 counters.evicted_answers);
  writer.Counter("evicted_connections",
                 "connections closed for lack of descriptors",
                 counters.evicted_connections);
  writer.Counter("refused_connections",
                 "new connections closed for lack of descriptors",
                 counters.refused_connections);
  writer.Counter("refused_calls", "calls that had no descriptor",
                 counters.refused_calls);
  writer.Counter("malformed_answers", "calls whose bytes were no answer",
                 counters.malformed_answers);
  return writer.Take();
}

}  // namespace toucanwharf::instance
