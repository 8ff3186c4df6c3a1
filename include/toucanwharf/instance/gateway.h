#ifndef TOUCANWHARF_INSTANCE_GATEWAY_H_
#define TOUCANWHARF_INSTANCE_GATEWAY_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "toucanwharf/attempts/arrival_budget.h"
#include "toucanwharf/attempts/probe_backoff.h"
#include "toucanwharf/attempts/startup_wait.h"
#include "toucanwharf/endpoints/liveness_evidence.h"
#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/http/server.h"
#include "toucanwharf/instance/adapter.h"
#include "toucanwharf/instance/engine_probe.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/instance/settings.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::instance {

/// How the gateway talks to an engine beside the requests themselves.
struct EngineCalls {
  http::Request report;
  std::function<std::optional<EndpointReport>(const std::string&)> to_report;
  std::function<http::Request(const RerouteOrder&)> repath;
  std::function<std::string(const std::vector<pipeline::Stage>&)> path_text;
  /// Returns the address of the engine that keeps a change of path from being
  /// made, from the refusal's body; empty if it names none.
  std::function<std::string(const std::string&)> repath_fault;
};

/// How many answers took how long.
struct LatencyHistogram {
  /// Upper bounds of the buckets; a last one takes the rest. Around the
  /// objectives of 300 and 500 ms that operators state.
  static constexpr std::array<Duration, 8> kBounds = {
      std::chrono::milliseconds(25),   std::chrono::milliseconds(50),
      std::chrono::milliseconds(100),  std::chrono::milliseconds(200),
      std::chrono::milliseconds(300),  std::chrono::milliseconds(500),
      std::chrono::milliseconds(1000), std::chrono::milliseconds(2000)};

  std::array<std::uint64_t, kBounds.size() + 1> counts{};
  Duration sum{0};

  /// Counts one answer that took \p length.
  void Add(Duration length) {
    const auto bucket =
        std::lower_bound(kBounds.begin(), kBounds.end(), length);
    ++this->counts[static_cast<std::size_t>(bucket - kBounds.begin())];
    this->sum += length;
  }

  friend bool operator==(const LatencyHistogram&,
                         const LatencyHistogram&) = default;
};

/// Counts of what became of requests.
struct GatewayCounters {
  std::uint64_t received = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t aborted = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t caller_disconnected = 0;
  std::uint64_t retried = 0;
  std::uint64_t resumed = 0;
  std::uint64_t stalls = 0;
  std::uint64_t rerouted = 0;
  std::uint64_t queued = 0;
  std::uint64_t extra_arrivals = 0;
  std::uint64_t retries_denied = 0;
  LatencyHistogram plain_latency;
  LatencyHistogram first_event_latency;

  friend bool operator==(const GatewayCounters&,
                         const GatewayCounters&) = default;
};

class ProxiedRequest;

/// Passes callers' requests on to endpoints and their answers back.
/// Thread safety: only on the loop's thread.
class Gateway {
 public:
  /// Precondition: all references outlive the gateway.
  Gateway(http::Loop& event_loop, http::Client& http_client,
          InstanceState& shared_state, eventlog::Logger& log,
          const InstanceSettings& chosen, HeaderNames header_names,
          EngineCalls engine_calls);

  /// Calls \p task when an engine turns out to be silent, so that the other
  /// instances hear of it.
  void OnSilentEngine(std::function<void()> task) {
    this->tell_silent = std::move(task);
  }
  /// Leads the answers around \p endpoint that were under way through it and
  /// have stopped, without further questions.
  void RerouteAround(const std::string& endpoint);
  /// Takes a request; its answer may come much later.
  void Handle(std::shared_ptr<http::Exchange> exchange);
  /// Sets who shares the budget of extra arrivals.
  void SetSharers(const attempts::BudgetSharers& known) {
    this->budget.SetSharers(known);
  }
  /// Returns whom it takes to share the budget of extra arrivals.
  const attempts::BudgetSharers& Sharers() const {
    return this->budget.Sharers();
  }
  /// Returns how many requests are under way.
  std::size_t UnderWay() const {
    return this->passages.size() + this->early.size();
  }
  const GatewayCounters& Counters() const { return this->counters; }

 private:
  friend class ProxiedRequest;

  /// A request that came before this process knew where to send it.
  struct Early {
    std::shared_ptr<http::Exchange> exchange;
    TimePoint arrived;
    std::size_t bytes = 0;
  };

  /// Takes a request that arrived at \p arrived.
  void Take(std::shared_ptr<http::Exchange> exchange, TimePoint arrived);
  void TakeEarly();

  /// Returns whether all engines of a path that paused are asked whether they
  /// live, and not its first one only.
  ///
  /// Load against which a large fleet is spared: all instances lose answers by
  /// one dead or slow engine, and if each asked all engines of its paths, the
  /// questions alone would keep healthy engines from answering in time, which
  /// would be taken as silent too. A leader that asks for all is overrun by the
  /// doubts of the others. There the first engine's report tells of a silent
  /// one.
  bool AsksWholePaths(TimePoint now) const;
  /// Finds out which of \p engines are silent, unless they have answered since
  /// \p since.
  void Doubt(const std::vector<pipeline::Stage>& engines, TimePoint since);
  void AskWhetherAlive(const pipeline::Stage& stage, TimePoint since);
  /// Returns how many instances may ask an engine at the same moment.
  std::size_t Askers() const;
  /// Notes that \p endpoint gives no sign of life.
  void NoteSilent(const std::string& endpoint);
  /// Returns what the streams under way, but for \p except, show of engines.
  std::vector<endpoints::LivenessEvidence> SignsBeside(
      const ProxiedRequest& except) const;
  /// Lets \p passage wait until there is room for its answer.
  void Enqueue(std::shared_ptr<ProxiedRequest> passage);
  void ServeQueue();

  void Refuse(http::Exchange& exchange, int status, Duration retry_after,
              std::string_view reason);
  bool TooLateToTake(TimePoint now) const;

  http::Loop& loop;
  http::Client& client;
  InstanceState& state;
  eventlog::Logger& logger;
  InstanceSettings settings;
  HeaderNames names;
  attempts::ArrivalBudget budget;
  Random random;
  EngineCalls calls;
  GatewayCounters counters;
  EngineProbe probe;
  attempts::ProbeBackoff restraint;
  std::function<void()> tell_silent;
  /// All requests under way.
  std::set<ProxiedRequest*> passages;
  attempts::StartupWait start_wait;
  std::vector<Early> early;
  std::deque<std::shared_ptr<ProxiedRequest>> queue;
  http::TimerId queue_timer = 0;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_GATEWAY_H_
