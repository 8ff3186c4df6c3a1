#ifndef TOUCANWHARF_INSTANCE_GATEWAY_H_
#define TOUCANWHARF_INSTANCE_GATEWAY_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "toucanwharf/admission/answer_meter.h"
#include "toucanwharf/admission/answer_times.h"
#include "toucanwharf/admission/claim_queue.h"
#include "toucanwharf/admission/return_schedule.h"
#include "toucanwharf/admission/stop_plan.h"
#include "toucanwharf/admission/usual_time.h"
#include "toucanwharf/attempts/arrival_budget.h"
#include "toucanwharf/attempts/probe_backoff.h"
#include "toucanwharf/attempts/startup_wait.h"
#include "toucanwharf/attempts/unread_requests.h"
#include "toucanwharf/endpoints/liveness_evidence.h"
#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/http/server.h"
#include "toucanwharf/instance/adapter.h"
#include "toucanwharf/instance/engine_probe.h"
#include "toucanwharf/instance/forwarding.h"
#include "toucanwharf/instance/instance_state.h"
#include "toucanwharf/instance/path_monitor.h"
#include "toucanwharf/instance/settings.h"
#include "toucanwharf/instance/unresponsive_report.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::instance {

/// The deployment's calls to an engine besides the proxied requests.
struct EngineCalls {
  http::Request report;
  std::function<std::optional<EndpointReport>(const std::string&)> to_report;
  std::function<http::Request(const RerouteOrder&)> reroute;
  std::function<std::string(const std::vector<pipeline::Stage>&)> path_text;
  /// Returns the address of the engine that prevents a reroute, from the body
  /// of the refusal; empty if it names none.
  std::function<std::string(const std::string&)> reroute_fault;
};

/// Distribution of answer latencies.
struct LatencyHistogram {
  /// Upper bounds of the buckets; a last bucket is unbounded. They surround the
  /// objectives of 300 and 500 ms that operators state.
  static constexpr std::array<Duration, 8> kBounds = {
      std::chrono::milliseconds(25),   std::chrono::milliseconds(50),
      std::chrono::milliseconds(100),  std::chrono::milliseconds(200),
      std::chrono::milliseconds(300),  std::chrono::milliseconds(500),
      std::chrono::milliseconds(1000), std::chrono::milliseconds(2000)};

  std::array<std::uint64_t, kBounds.size() + 1> counts{};
  Duration sum{0};

  /// Records one answer that took \p length.
  void Add(Duration length) {
    const auto bucket =
        std::lower_bound(kBounds.begin(), kBounds.end(), length);
    ++this->counts[static_cast<std::size_t>(bucket - kBounds.begin())];
    this->sum += length;
  }

  friend bool operator==(const LatencyHistogram&,
                         const LatencyHistogram&) = default;
};

/// Times that requests waited for capacity, by rank.
using WaitsByRank = std::array<LatencyHistogram, admission::kRanks>;
/// What waits for capacity, by rank.
using WaitingByRank = std::array<admission::RankBacklog, admission::kRanks>;

/// Counts of requests by outcome.
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
  /// Requests that this instance has counted for the budget of extra arrivals.
  std::uint64_t budget_requests = 0;
  std::uint64_t retries_denied = 0;
  std::uint64_t broken_runs = 0;
  /// Of these, those that prove nothing by how far they had come.
  std::uint64_t broken_runs_uncounted = 0;
  /// Times that an endpoint went on after a run there had broken.
  std::uint64_t broken_runs_outlived = 0;
  /// Tries of requests with something that was at a crash.
  std::uint64_t suspects_sent = 0;
  std::uint64_t quarantined = 0;
  std::uint64_t limits_unreadable = 0;
  std::uint64_t claims_unreadable = 0;
  std::uint64_t endpoints_leaving = 0;
  std::uint64_t pauses_requested = 0;
  std::uint64_t pauses_unreadable = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t forwarded_here = 0;
  std::uint64_t forwards_rejected = 0;
  /// Requests that were taken after the signal to stop.
  std::uint64_t taken_while_stopping = 0;
  LatencyHistogram plain_latency;
  LatencyHistogram first_event_latency;
  WaitsByRank waits{};

  friend bool operator==(const GatewayCounters&,
                         const GatewayCounters&) = default;
};

/// When the caller of a refused request should retry.
struct RetryTime {
  Duration after{0};
  /// Whether \c after is drawn for this caller. Otherwise it is the same for
  /// all and is spread, so that they don't retry together.
  bool is_drawn = false;

  friend bool operator==(const RetryTime&, const RetryTime&) = default;
};

class ProxiedRequest;
struct Admitted;

/// Proxies callers' requests to endpoints and relays the answers. Owned by
/// Instance.
/// Thread safety: only on the loop's thread.
class Gateway {
 public:
  /// Precondition: all references outlive the gateway.
  Gateway(http::Loop& event_loop, http::Client& http_client,
          InstanceState& shared_state, eventlog::Logger& log,
          const InstanceSettings& initial_settings,
          resources::Account& buffer_account, HeaderNames header_names,
          EngineCalls engine_calls);

  /// Calls \p task when this instance learns something of an endpoint that the
  /// others must act on: it is unresponsive, crashed with requests, or states a
  /// limit.
  void OnEndpointNews(std::function<void()> task) {
    this->announce_news = std::move(task);
  }
  /// Calls \p task when this instance becomes isolated from all endpoints, or
  /// no longer is.
  void OnIsolationChange(std::function<void()> task) {
    this->isolation_changed = std::move(task);
  }
  /// Calls \p task with a suspect that has a new crash, so that it can be
  /// stored.
  void OnCrash(std::function<void(const quarantine::Fingerprint&)> task) {
    this->on_crash = std::move(task);
  }
  /// Calls \p task with a suspect that was in a request that was answered.
  void OnCleared(std::function<void(const quarantine::Fingerprint&)> task) {
    this->on_cleared = std::move(task);
  }
  /// Decides from the list of endpoints whether those at which runs broke have
  /// ended.
  void ReviewBrokenRuns();
  /// Checks all answers that run through the unresponsive \p endpoint, and
  /// resumes or reroutes those that have stalled, without further probes.
  void RerouteAround(const std::string& endpoint);
  /// Handles a peer's report that an endpoint is unresponsive: believes it only
  /// if the endpoint shows no sign of life here either.
  ///
  /// Failure guarded against: the peer's own link to the endpoint is cut, and
  /// one report of it makes the whole fleet avoid a sound endpoint.
  void OnPeerReport(const UnresponsiveReport& report);
  /// Gives up waiting for endpoints that have been stopped for too long.
  void RemoveOldUnread();
  /// Makes the check of this instance's own paths that is due, if any.
  void CheckPaths();
  /// Refuses a request whose body has not been read yet, if its head shows that
  /// it can't be served.
  void CheckHead(const std::shared_ptr<http::Exchange>& exchange);
  /// The same for a request that another instance forwards.
  void CheckForwardedHead(const std::shared_ptr<http::Exchange>& exchange);
  /// Accepts a request; its answer may be sent much later.
  void Handle(std::shared_ptr<http::Exchange> exchange);
  /// Accepts a request that another instance forwards because it can't reach
  /// the endpoints. It is served from here or refused, never forwarded again.
  void HandleForwarded(std::shared_ptr<http::Exchange> exchange);
  /// Sets which instances share the budget of extra arrivals.
  void SetSharers(const attempts::BudgetSharers& known) {
    this->budget.SetSharers(known);
  }
  /// Returns which instances are assumed to share the budget of extra arrivals.
  const attempts::BudgetSharers& Sharers() const {
    return this->budget.Sharers();
  }
  /// Logs the requests in flight and gives each its final answer, as the
  /// process ends: a refusal if it did not run, else a failure; an answer that
  /// has begun is broken off. All that come later are refused.
  void EndAll();
  /// Returns how many requests are in flight.
  std::size_t InFlight() const {
    return this->active.size() + this->early_requests.size();
  }
  /// Returns what the process does when in a planned stop.
  const admission::StopPlan& Stop() const { return this->stop_plan; }
  const GatewayCounters& Counters() const { return this->counters; }
  /// Returns what waits for capacity of any service, by rank.
  WaitingByRank Waiting() const;

 private:
  friend class ProxiedRequest;

  /// A request that arrived before this process had the state to route it.
  struct EarlyRequest {
    std::shared_ptr<http::Exchange> exchange;
    TimePoint arrived;
    std::size_t bytes = 0;
  };

  /// Why and how a request is refused.
  struct Refusal {
    int status = 0;
    RetryTime retry;
    std::string_view reason;
  };

  /// The requests that wait for capacity of one service.
  struct ServiceQueue {
    admission::ClaimQueue order;
    std::map<std::string, std::shared_ptr<ProxiedRequest>> requests;
  };

  /// What decides when refused callers of one service retry.
  struct ServiceReturns {
    admission::AnswerMeter answers;
    admission::ReturnSchedule schedule;
  };

  /// The endpoint that a request was sent to.
  struct AskedEndpoint {
    std::string id;
    /// Of its start at that time.
    std::uint32_t key = 0;
    TimePoint sent;
    bool is_engine = false;
  };

  /// The start of an endpoint that takes part in a run.
  struct Participant {
    std::string endpoint;
    std::string address;
    std::uint32_t key = 0;
    std::uint64_t start_time_ms = 0;
    /// Whether the endpoint sends reports.
    bool is_engine = false;
  };

  /// Returns whether requests can be admitted without waiting for what a
  /// starting process reads. The quarantine is worth the wait, but an unread
  /// one doesn't keep the process from serving.
  bool KnowsEnoughToAdmit(TimePoint now) const;
  /// Finds the route and the customer of \p request for \p admitted. Returns
  /// why the request is refused, if its head shows that.
  std::optional<Refusal> FindRoute(const http::Request& request, TimePoint now,
                                   Admitted& admitted) const;
  /// Admits or refuses a request that arrived at \p arrived.
  void Admit(std::shared_ptr<http::Exchange> exchange, TimePoint arrived,
             const std::optional<ForwardedRequest>& forwarded = std::nullopt);
  void AdmitEarly();

  /// Returns whether to probe every engine of a stalled path instead of only
  /// its first one.
  ///
  /// Load: one dead or slow engine stalls answers on all instances. In a large
  /// fleet, if each instance probed all engines of its paths, the probes alone
  /// would keep healthy engines from answering in time, so that these would be
  /// taken as unresponsive too. A leader that probes for all would be flooded
  /// with the others' suspicions. There the first engine's report names the
  /// unresponsive one.
  bool ProbesWholePaths(TimePoint now) const;
  /// Probes those of \p engines that have not answered since \p since.
  void ProbeEngines(const std::vector<pipeline::Stage>& engines,
                    TimePoint since);
  void ProbeEngine(const pipeline::Stage& stage, TimePoint since);
  /// Returns whether \p endpoint has asked this instance for a pause that isn't
  /// over.
  bool IsPaused(const std::string& endpoint) const;
  /// Returns how many instances may probe an engine at the same moment.
  std::size_t ConcurrentProbers() const;
  /// Records that \p endpoint did not respond to a liveness probe.
  void SetUnresponsive(const std::string& endpoint);
  void AnnounceNews();
  void OnReportChecked(const UnresponsiveReport& report,
                       const ProbeAnswer& answer);
  void ApplyReport(const UnresponsiveReport& report);
  /// Returns whether an answer in flight shows that \p endpoint was alive at
  /// \p since or later.
  bool ShowsLife(const std::string& endpoint, TimePoint since) const;
  /// Returns the evidence of live engines from the streams in flight, except
  /// that of \p except.
  std::vector<endpoints::LivenessEvidence> EvidenceExcept(
      const ProxiedRequest& except) const;
  /// Returns whether requests wait for \p service that go before \p claim.
  bool HasQueueAhead(const std::string& service,
                     const admission::Claim& claim) const;
  /// Records that an answer of \p service has ended and has freed its capacity.
  void OnAnswerEnded(const std::string& service);
  /// Returns after what delay a caller with \p claim and \p time_left that
  /// \p service has no capacity for should retry; nothing while the rate at
  /// which capacity comes free isn't known.
  std::optional<Duration> ScheduleReturn(const std::string& service,
                                         const admission::Claim& claim,
                                         Duration time_left);
  /// Returns how many queued requests of \p service get capacity before a
  /// caller with \p claim that is refused now.
  std::size_t CountQueuedBefore(const std::string& service,
                                const admission::Claim& claim) const;
  /// Queues \p request for \p service until there is capacity for its answer.
  void Enqueue(const std::string& service,
               std::shared_ptr<ProxiedRequest> request);
  void ServeQueues();
  void ServeQueue(ServiceQueue& service);
  /// Lets \p id leave the queue if there is capacity for it. Returns whether it
  /// left.
  bool TryToServe(ServiceQueue& service, const std::string& id);
  /// Refuses the requests that waiting can't help any more.
  void RefuseUnservable(ServiceQueue& service);
  void ScheduleQueues();

  /// Records that a run of a request broke.
  void OnRunBroken(const quarantine::BrokenRun& run);
  /// Finds out whether \p participant, where a run broke, has ended.
  void CheckParticipant(const Participant& participant);
  void OnEndpointProbed(const Participant& at, const ProbeAnswer& answer);
  void LogOutlived(const std::string& endpoint);
  /// Records that the endpoint that \p key stands for refuses connections, and
  /// finds out what that means.
  void OnConnectionRefused(std::uint32_t key);
  /// The same, if the paths are out of doubt before \p until.
  void OnEndpointRefused(std::uint32_t key, TimePoint until);
  /// Records that the start of an endpoint that \p key stands for has ended.
  void OnEndpointEnded(std::uint32_t key);
  /// Records that \p extra may have been read by all endpoints that it was sent
  /// to.
  void OnExtraRead(attempts::UnreadRequests::Extra extra);
  void OnExtrasRead(std::vector<attempts::UnreadRequests::Extra> extras);
  /// Records that \p endpoint answered a request sent at \p sent, so that it
  /// had not ended before.
  void OnEndpointAnswered(const std::string& endpoint, TimePoint sent);
  /// Records that a run shows that nothing in \p request crashes endpoints.
  /// \p why is a word of a log line.
  void OnSuccess(const quarantine::RequestFingerprints& request,
                 std::string_view why);
  /// Applies the limit that \p endpoint states, or doesn't, in the \p head of
  /// its answer to a request sent at \p sent.
  void OnStatedLimit(const std::string& endpoint, TimePoint sent,
                     const http::ResponseHead& head);
  /// Applies the pause that the endpoint that \p to stands for asks for in the
  /// \p head of a refusal.
  void OnRequestedPause(const AskedEndpoint& to,
                        const http::ResponseHead& head);
  /// Records that the endpoint that \p to stands for leaves, if \p head says
  /// so.
  void OnLeavingNotice(const AskedEndpoint& to, const http::ResponseHead& head);
  void OnUnreadablePause(const std::string& endpoint, std::string_view value);
  /// Records that the size that the caller of \p request states can't be used.
  void OnUnreadableClaim(const std::string& request);
  void OnUnreadableLimit(const std::string& endpoint, std::string_view value);
  /// Returns what \p request of \p customer holds that may crash endpoints.
  quarantine::RequestFingerprints FingerprintsOf(
      const http::Request& request, std::string_view customer) const;
  /// Refuses \p exchange if something in \p request is in quarantine. Returns
  /// whether it is.
  bool RefuseQuarantined(http::Exchange& exchange,
                         const quarantine::RequestFingerprints& request);
  /// \p reached_endpoint is whether an endpoint got the request and turned it
  /// away.
  void Refuse(http::Exchange& exchange, int status, const RetryTime& retry_time,
              std::string_view reason,
              const eventlog::Fields& more = eventlog::Fields(),
              bool reached_endpoint = false);
  /// Returns whether the process stops and may end before a request of
  /// \p route, with \p left of its time, has its answer.
  bool TooLateToTake(const routes::Route& route, Duration left,
                     TimePoint now) const;
  /// Returns why a forwarded request can't be taken; empty if it can.
  std::string_view ForwardProblem(
      const std::optional<ForwardedRequest>& forwarded, TimePoint now) const;
  void RejectForwarded(http::Exchange& exchange, std::string_view problem,
                       TimePoint now);

  http::Loop& loop;
  http::Client& client;
  /// Memory of requests and of answers that wait to be read.
  resources::Account& buffers;
  InstanceState& state;
  eventlog::Logger& logger;
  InstanceSettings settings;
  HeaderNames names;
  attempts::ArrivalBudget budget;
  attempts::UnreadRequests unread;
  admission::UsualTime usual_time;
  admission::AnswerTimes answer_times;
  admission::StopPlan stop_plan;
  Random random;
  EngineCalls calls;
  GatewayCounters counters;
  TimePoint unreadable_limit_logged{Duration(-1'000'000'000)};
  TimePoint unreadable_pause_logged{Duration(-1'000'000'000)};
  TimePoint unreadable_claim_logged{Duration(-1'000'000'000)};
  TimePoint invalid_forward_logged{Duration(-1'000'000'000)};
  EngineProbe probe;
  attempts::ProbeBackoff probe_backoff;
  PathMonitor path_monitor;
  std::function<void()> announce_news;
  std::function<void()> isolation_changed;
  std::function<void(const quarantine::Fingerprint&)> on_crash;
  std::function<void(const quarantine::Fingerprint&)> on_cleared;
  /// All requests in flight.
  std::set<ProxiedRequest*> active;
  attempts::StartupWait startup_wait;
  std::vector<EarlyRequest> early_requests;
  /// By service; none is empty between two rounds.
  std::map<std::string, ServiceQueue> queues;
  std::uint64_t queued_ids = 0;
  /// Whether all that was under way got its final answer.
  bool ended = false;
  /// By service.
  std::map<std::string, ServiceReturns> returns;
  http::TimerId queue_timer = 0;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_GATEWAY_H_
