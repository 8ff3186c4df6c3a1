#ifndef TOUCANWHARF_LIB_INSTANCE_PROXIED_REQUEST_H_
#define TOUCANWHARF_LIB_INSTANCE_PROXIED_REQUEST_H_

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "answer_trace.h"
#include "toucanwharf/admission/claim.h"
#include "toucanwharf/attempts/attempt_policy.h"
#include "toucanwharf/attempts/stall_detector.h"
#include "toucanwharf/endpoints/unframed_end.h"
#include "toucanwharf/http/event_splitter.h"
#include "toucanwharf/http/second_answer.h"
#include "toucanwharf/instance/forwarding.h"
#include "toucanwharf/instance/gateway.h"
#include "toucanwharf/placement/path_finder.h"
#include "toucanwharf/quarantine/fingerprint.h"

namespace toucanwharf::instance {

/// An engine that refuses while more than this share of its capacity is known
/// to be in use counts as full.
inline constexpr double kFullShare = 0.6;

/// Between checks for capacity for an answer that lost its path.
inline constexpr Duration kCapacityPollPeriod = std::chrono::milliseconds(60);

/// Why an instance that stops refuses requests.
inline constexpr std::string_view kStopping = "stopping";

/// Returns whether an answer with \p status is a success. Thread safety: safe.
inline bool IsSuccess(int status) {
  constexpr int kFirstSuccess = 200;
  constexpr int kFirstRedirect = 300;
  return status >= kFirstSuccess && status < kFirstRedirect;
}

/// Returns whether \p endpoint runs one of \p stages. Thread safety: safe.
inline bool RunsThrough(const std::vector<pipeline::Stage>& stages,
                        const std::string& endpoint) {
  return std::any_of(
      stages.begin(), stages.end(),
      [&](const pipeline::Stage& stage) { return stage.endpoint == endpoint; });
}

/// What the gateway determined about a request at its admission.
struct Admitted {
  std::shared_ptr<const routes::RouteTable> table;
  const routes::Route* route = nullptr;
  const routes::Service* service = nullptr;
  /// Empty for a route that needs no key.
  std::string customer;
  /// The customer's own rank, which goes before the route's.
  std::optional<int> customer_rank;
  /// How long ago the caller's first attempt began; 0 for a first attempt.
  Duration caller_age{0};
  TimePoint arrived;
  /// When the final answer is due.
  TimePoint deadline;
  /// What the forwarding instance told; nothing for a caller's request.
  std::optional<ForwardedRequest> forwarded;
};

/// One request: sends it to endpoints in one or more attempts, relays the
/// answer, and resumes it at another endpoint when one fails. Kept alive by its
/// pending callbacks. proxied_request.cc has the way from its arrival to an
/// endpoint, proxied_request_target.cc the choice of endpoints and the request
/// sent there, proxied_request_answer.cc what comes back,
/// proxied_request_retry.cc the step after an attempt that failed,
/// proxied_request_end.cc the end, proxied_request_stall.cc the handling of
/// unresponsive endpoints, proxied_request_evidence.cc what its runs show of
/// the request itself, proxied_request_forwarding.cc the way by another
/// instance. Thread safety: only on the loop's thread.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
 public:
  ProxiedRequest(Gateway& owner, std::shared_ptr<http::Exchange> caller,
                 Admitted admitted_request);
  ~ProxiedRequest();
  ProxiedRequest(const ProxiedRequest&) = delete;
  ProxiedRequest& operator=(const ProxiedRequest&) = delete;

  void Start();
  /// What becomes of a request that waits for capacity.
  enum class QueueStep {
    kWait,
    kSent,
    /// It was refused, or its caller has disconnected.
    kEnded,
  };

  /// Checks for capacity again, and sends the request if there is some.
  QueueStep LeaveQueue();
  /// Gives the request its final answer, as the process ends.
  void EndByStop();
  /// Refuses the request, which waiting can't help any more.
  void RefuseQueued();
  bool IsFinished() const { return this->finished; }
  const admission::Claim& ClaimOf() const { return this->claim; }
  /// Logs that the request begins to wait behind \p ahead others, and for how
  /// long if known.
  void LogQueued(std::size_t ahead, const std::optional<Duration>& expected);
  /// Checks immediately whether the unresponsive \p endpoint has stalled this
  /// answer.
  void OnEngineUnresponsive(const std::string& endpoint);
  /// Returns what the answer shows about the liveness of the engines on its
  /// path; nothing before its first event from them.
  std::optional<endpoints::LivenessEvidence> Liveness() const;

 private:
  /// Where an attempt is sent.
  struct Target {
    /// Id of the endpoint, or of a peer that the request is forwarded to its
    /// control address.
    std::string endpoint;
    std::string address;
    /// Stands for the endpoint's start.
    std::uint32_t key = 0;
    /// Milliseconds since 1970.
    std::uint64_t start_time_ms = 0;
    std::vector<pipeline::Stage> stages;
    /// The endpoint, and the other engines of the path.
    std::vector<Gateway::Participant> participants;
    double token_millis = 0;
    /// Whether this is a peer, which chooses the endpoint.
    bool is_peer = false;
  };

  /// Endpoints that a choice considered.
  struct Candidates {
    std::int64_t ready = 0;
    /// Of these, those that are avoided as suspected.
    std::int64_t suspected = 0;
    /// Endpoints that could be used if the path from here were not cut.
    std::int64_t behind_cut = 0;
  };

  bool IsStream() const {
    return this->admitted.route->kind == routes::RequestKind::kStream;
  }
  bool IsModel() const { return this->admitted.service->engine.has_value(); }

  /// Returns whether the process may end before the answer to what would be
  /// sent now.
  bool TooLateToSend() const;
  void StartAttempt();
  std::optional<Target> ChooseTarget();
  std::optional<Target> ChooseForRetry(attempts::AttemptOutcome outcome);
  /// Returns whether the budget allows one more arrival, and counts it if so.
  bool TakeExtra(TimePoint now);
  /// \p current is the path of an answer that is being rerouted, else empty.
  std::optional<Target> ChoosePath(const std::vector<pipeline::Stage>& current);
  std::optional<Target> ChoosePlain();
  /// Returns a peer that reaches endpoints, if the request may be forwarded.
  std::optional<Target> ChoosePeer();
  /// Returns whether this instance can't reach any endpoint and the request may
  /// be forwarded.
  bool MustForward() const;
  /// Returns whether the request may be forwarded and a peer could take it.
  bool MayForward() const;
  http::Request BuildRequest(const Target& target) const;
  /// Returns whether the endpoint is told the rank of the request.
  bool TellsRank() const;
  /// Returns what the request asks of free capacity.
  admission::Claim MakeClaim();
  /// Returns the request as a peer gets it.
  http::Request BuildForwarded() const;
  void Send(const Target& target);

  void OnHead(const http::ResponseHead& head);
  void OnData(std::string_view bytes);
  /// Handles bytes that belong to the answer.
  void OnBody(std::string_view bytes);
  /// The endpoint has begun another answer behind this one.
  void OnSecondAnswer();
  void RelayEvents(std::string_view complete);
  /// Sends part of the answer to the caller, and stops reading from the
  /// endpoint while the caller lags behind.
  void Relay(std::string_view bytes);
  void ReadOnWhenSent();
  /// Returns whether a long answer without framing waits for the start of its
  /// endpoint, which it asks for once.
  ///
  /// Failure guarded against: this process is killed while it passes the answer
  /// on, and the kernel's close ends the answer for its caller. Chunks don't
  /// end so, but whoever sends their last must be able to prove the end.
  bool AwaitsStart();
  void OnStartKnown(const ProbeAnswer& answer);
  /// Begins to pass on a plain answer, of which a part is held.
  void PassOnHeldBack();
  /// Keeps the body of a failure.
  void OnFailureData(std::string_view bytes);
  /// Adds to what is held back of an answer, or of a failure.
  void HoldBack(std::string_view bytes);
  void DropHeldBack();
  /// Counts what is held of the head and of the events of the answer.
  void CountHeldAnswer();
  /// Returns how many bytes may wait for the caller before the endpoint has to
  /// wait too: fewer while memory is short.
  std::size_t MaxUnsentBytes() const;
  /// Holds back the body of a plain answer, or relays it if it is long.
  void OnPlainData(std::string_view bytes);
  void OnDone(const http::CallResult& result);
  void ClassifyHead(const http::ResponseHead& head);
  /// The same for the answer of a peer.
  void ClassifyForwarded(const http::ResponseHead& head);
  /// Waits for a peer that is slow, as it handles what stalls at endpoints;
  /// goes on elsewhere if it is gone or can't reach endpoints itself.
  void OnPeerStall();
  void OnForwardRefused(ForwardRefusal refusal);
  /// Records that this request's call could not reach its endpoint.
  void OnNotConnected(const http::CallResult& result);
  /// Returns the head of an answer as the caller gets it.
  http::ResponseHead ToRelay(const http::ResponseHead& answer) const;
  /// Returns the head of an answer whose endpoint stated no framing: a length
  /// or chunks would tell the caller that it is whole.
  http::ResponseHead UnframedHead() const;
  /// Counts the request for the budget of extra arrivals and the demand, unless
  /// it has been counted, here or at another instance.
  void CountRequest();
  void BeginStream(const http::ResponseHead& head);
  /// Passes the head of an answer on, whose body follows in parts.
  void BeginAnswer(const http::ResponseHead& out);
  /// Ends the request with the answer, which is whole; \p proven says whether
  /// that shows that the request crashes no endpoint.
  void Complete(bool proven);
  /// The same for an answer of which nothing was relayed yet, or a failure.
  void FinishPlain(bool proven);
  void EndAttempt(attempts::AttemptOutcome outcome, std::string_view reason);
  void Proceed(attempts::AttemptOutcome outcome, std::string_view reason);
  /// Takes the next step after an attempt, at once or after a pause.
  void TakeNextStep(attempts::AttemptOutcome outcome, std::string_view reason);

  bool MayQueue() const;
  /// Returns until when the request waits for capacity while nothing is known
  /// of when there will be some.
  TimePoint LastQueueTime() const;
  /// Returns whether the request may be sent only after that, by the limits of
  /// all endpoints that could take it.
  bool LimitsOutlastWait() const;
  /// Returns why a request without any target is refused.
  std::string_view ReasonWithoutTarget() const;
  void WatchStall(Duration delay);
  Duration StallTimeout() const;
  void OnStall();
  /// Returns whether an engine of the path is known to be unresponsive.
  bool HasFailedEngine() const;
  void ProbePath();
  void ProbeFirstEngine(TimePoint now);
  void ProbeOtherEngines();
  void OnFirstEngineProbed(const ProbeAnswer& answer);
  void Recover();
  bool CanResumeElsewhere();
  void ResumeElsewhere(std::string_view reason);
  void Reroute();
  void OnRerouted(const std::vector<pipeline::Stage>& stages, int status,
                  const std::string& body);
  void OnPathLeft(const std::vector<pipeline::Stage>& next);
  void OnRerouteRefused(const std::vector<pipeline::Stage>& stages,
                        const std::string& fault);
  void SetUnresponsiveAt(const std::string& address);
  /// Returns the time left, as endpoints and peers are told.
  std::string RemainingMillis() const;
  void CountLoad();
  /// Counts the request that is sent now against the limit of its endpoint.
  void CountAgainstLimit();
  /// Returns whether what \p endpoint asked for, a limit or a pause, allows a
  /// request now, and records how long it takes if not.
  bool LimitAllows(const endpoints::Endpoint& endpoint, TimePoint now);
  double CapacityUsed(const std::string& id) const;
  /// Pauses new work for \p endpoint, which refused; \p full says whether its
  /// capacity was in use.
  void RecordRefusal(const std::string& endpoint, bool full);
  void RecordMisdirection();
  /// Returns whether the request may be sent once more after \p outcome.
  bool MayRetry(attempts::AttemptOutcome outcome);
  void AwaitCapacity(Duration pause, attempts::AttemptOutcome outcome,
                     std::string_view reason);
  /// Returns what stands for this request's content, whatever its id, and for
  /// the parts of its prompt.
  const quarantine::RequestFingerprints& Fingerprints();
  /// Logs what tells a request that crashes endpoints from one that was only
  /// there: the same content at several ends, and how far its run had come.
  void LogBrokenRun(quarantine::RunStage stage);
  /// Records and logs that a request is sent although something is known
  /// against it.
  void OnSuspectSent();
  /// Returns how far the current run has come.
  quarantine::RunStage StageOfRun() const;
  /// Returns for how long the endpoint has written, at most.
  Duration RunLength() const;
  /// Returns the endpoints that take part in a run at \p to.
  std::vector<Gateway::Participant> ParticipantsOf(const Target& to) const;
  /// Records that the current run broke or fell silent, as a crash of one of
  /// its endpoints by this request would show.
  void OnRunBroken();
  /// Records the same of one of its endpoints.
  void OnRunBrokenAt(const Gateway::Participant& participant);
  /// Ends the call of the current attempt. A run that is given up in silence
  /// counts as broken.
  void GiveUpCall();
  /// Returns whether nothing has come from the endpoint for so long that it may
  /// have ended without closing the connection.
  bool EndpointIsSilent() const;
  /// Finds out whether the answer, which ended only with its connection, is
  /// whole.
  ///
  /// Failure guarded against: the endpoint crashes and the crash looks like the
  /// end, so that the caller gets a part as the whole answer (I2), and the
  /// request that crashed the endpoint seems to be answered. An endpoint that
  /// still runs after the end has sent it.
  void OnEndedByClose();
  /// Ends the attempt if the answer, which has ended, is a stream that isn't
  /// whole. Returns whether it did.
  bool EndedInsideStream();
  void OnEndProbed(const ProbeAnswer& answer);
  /// Returns what \p answer says of an end that comes before it.
  endpoints::UnframedEnd MeaningOf(const ProbeAnswer& answer) const;
  /// Returns whether what the endpoint's address shows now tells how the answer
  /// ended.
  bool MayAskAfterEnd() const;
  /// Returns whether the answer had stalled when it ended: a live engine cuts
  /// off what waits for another engine of the path.
  bool EndedAfterStall() const;
  /// Ends the request, or the attempt if the answer isn't known to be whole.
  void OnUnframedEnd(endpoints::UnframedEnd meaning);
  /// Records that nothing listens at the endpoint's address: it has ended.
  void OnConnectionRefused();
  /// Records an event of the current run.
  void OnProgress();
  /// Records that this run shows that the request crashes no endpoint.
  void OnRunProven(std::string_view why);
  /// Refuses the request, which was not sent yet, if it is in quarantine.
  /// Returns whether it is.
  bool RefuseQuarantined();
  /// Returns whether it may be sent once more after a run broke.
  bool MayRunAgain();
  void OnDeadline();
  void OnCallerDisconnected();

  /// Logs what the end of the process cuts.
  void LogCut() const;
  void Refuse(std::string_view reason);
  /// Returns when the caller, which is refused now, should retry.
  RetryTime RetryAfter();
  /// Returns the time at which capacity is expected to come free for it, if
  /// that is why it is refused and the time is known.
  std::optional<Duration> ScheduledReturn();
  /// Returns whether all endpoints that could serve the request have taken what
  /// they asked for.
  bool IsLimited() const { return this->limit_wait && !this->found_unlimited; }
  void Fail(int status, std::string_view reason);
  void Finish(std::string_view outcome, int status);
  /// Records how long the request waited if it leaves a queue now.
  void RecordWait();
  /// Cancels the call of the current attempt, if it is in flight. The endpoint
  /// may read the request all the same, and later.
  void CancelCall();
  void RecordUnread();
  /// Records that the endpoint has read the request of the current attempt, or
  /// never will.
  void OnRequestRead();
  void ReleaseLoad();
  void Log(eventlog::Level level, std::string_view event,
           const eventlog::Fields& more) const;

  Gateway& gateway;
  std::shared_ptr<http::Exchange> exchange;
  Admitted admitted;
  std::string request_id;
  /// What the request asks of free capacity.
  admission::Claim claim;
  /// When the request began to wait for capacity, if it waits.
  std::optional<TimePoint> queued_at;
  /// How long it waited in all, until it last left a queue.
  Duration waited{0};

  attempts::AttemptCounts attempt_counts;
  /// Whether an instance has counted it for the budget of extra arrivals.
  bool counted = false;
  /// Whether an endpoint has turned the request away.
  bool reached_endpoint = false;
  /// Set while the current attempt is an extra arrival that its endpoint may
  /// not have read.
  attempts::UnreadRequests::Extra extra;
  /// An attempt that was given up before its endpoint showed that it had read
  /// it.
  struct UnreadAttempt {
    std::string endpoint;
    TimePoint sent;
  };
  std::vector<UnreadAttempt> unread_attempts;
  std::set<std::string> excluded;
  Target target;
  std::vector<gossip::EndpointLoad> counted_loads;
  http::CallId call = 0;
  /// Whether the call established a connection of its own.
  bool is_new_connection = false;
  http::TimerId deadline_timer = 0;
  http::TimerId stall_timer = 0;
  http::TimerId reading_timer = 0;
  /// The call isn't read on, as the caller lags behind.
  bool held = false;
  /// A probe of the first engine is in flight.
  bool probing = false;
  /// An order to change the path is in flight.
  bool rerouting = false;
  /// Probes since the last event.
  int repeated_probes = 0;
  /// Refused reroutes since the last event.
  int refused_reroutes = 0;
  attempts::StallDetector detector;
  Duration first_event_after{0};
  TimePoint attempt_started;
  TimePoint last_data;
  /// When the caller last got a part of the answer.
  TimePoint last_relayed;
  /// When the response head of the current attempt arrived.
  TimePoint head_at;
  /// Whether the current run was recorded as proven.
  bool proven = false;
  std::optional<quarantine::RequestFingerprints> fingerprints;

  AnswerTrace trace;
  http::ResponseHead head;
  bool has_head = false;
  /// The head can be relayed.
  bool head_usable = false;
  std::optional<attempts::AttemptOutcome> head_outcome;
  std::string body;
  resources::Lease body_lease;
  /// Of an answer that only its connection ends.
  std::optional<http::SecondAnswerFinder> second_answer;
  /// Whether the endpoint's start was asked for while the answer came, and
  /// whether it is known, so that the answer's end can be proved.
  bool start_is_asked = false;
  bool start_is_awaited = false;
  bool end_provable = false;
  /// Whether a plain answer is passed on in chunks, the last of which says that
  /// all of it came.
  bool in_chunks = false;
  /// Whether all of a plain answer is there, and only its end is in doubt.
  bool end_is_asked = false;
  http::EventSplitter events;
  /// Of the head and the events.
  resources::Lease answer_lease;
  bool has_event = false;
  /// When the first event of the current run arrived.
  std::optional<TimePoint> run_began;
  /// Pieces of the body relayed.
  std::int64_t chunks_written = 0;
  bool finished = false;
  /// The caller has disconnected, but the work continues.
  bool abandoned = false;
  /// Of the answer, since then.
  std::uint64_t abandoned_bytes = 0;
  /// Shortest wait for an endpoint whose limit was in the way of the last
  /// choice.
  std::optional<Duration> limit_wait;
  /// Retry-After of the peer that refused the forwarded request for good.
  std::optional<RetryTime> peer_retry_after;
  /// Endpoints considered in the last choice.
  Candidates candidates;
  /// Whether an endpoint was considered whose limit was not.
  bool found_unlimited = false;
  placement::NoPathReason no_path_reason = placement::NoPathReason::kNone;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_LIB_INSTANCE_PROXIED_REQUEST_H_
