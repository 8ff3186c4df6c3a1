#ifndef TOUCANWHARF_STANDINS_FLEET_ENDPOINTS_H_
#define TOUCANWHARF_STANDINS_FLEET_ENDPOINTS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "standins/fleet/faulty_answers.h"
#include "standins/fleet/store.h"
#include "toucanwharf/http/loop.h"
#include "toucanwharf/http/server.h"
#include "toucanwharf/pipeline/plan.h"

namespace toucanwharf::standins::fleet {

/// Description of an endpoint to start.
struct EndpointSpec {
  std::string id;
  std::string service;
  std::string address;
  std::string failure_domain;
  /// Kind of accelerator; empty for a plain service.
  std::string kind;
};

/// Fault injected into an endpoint.
enum class EndpointFault {
  kNone,
  /// Accepts connections and never responds; answers whose path includes it
  /// stall.
  kUnresponsive,
  /// Refuses every request and reports it as not run.
  kFull,
  /// Runs the request and closes the connection without a response.
  kLosesAnswers,
  /// Runs the request and responds with 500.
  kFails,
  /// Sends a response that carries the id of another request.
  kSendsForeignAnswer,
  /// Aborts a stream in the middle of an event.
  kTruncatesEvent,
  /// Refuses to reroute a running answer.
  kRefusesReroute,
  /// Answers every request as another endpoint at its address would.
  kMisdirects,
  /// Begins to run each request only after kSlowDelay.
  kSlow,
  /// Crashes as soon as it has sent a whole stream.
  kCrashesAfterAnswer,
  /// Its process is stopped and goes on when the fault ends: the kernel accepts
  /// connections and requests, which are handled then, also those that their
  /// caller has given up.
  kStopped,
  /// Answers 404 where an answer is to be resumed.
  kRejectsResumed,
  /// Begins anew where an answer is to be resumed.
  kIgnoresLastEvent,
  /// Answers with bytes that are no events, or a plain body, until its caller
  /// closes the connection.
  kSendsWithoutEnd,
  /// The same with status 500.
  kFailsWithoutEnd,
  /// Sends a second answer right after a plain one that is unframed.
  kAnswersTwice,
  /// The same a moment later.
  kAnswersTwiceLate,
  /// Crashes while it sends a plain answer that is unframed: the kernel ends
  /// its connections as if it had closed them, and refuses new ones.
  kCrashesInAnswer,
  /// Begins a long event, or plain body, that a router still takes, and sends
  /// no more, but keeps the connection.
  kStopsInsideAnswer,
  /// Sends only a head, of many short fields, and keeps the connection.
  kSendsLongHead,
  /// Reports with a list of a million empty members.
  kReportsLongList,
};

/// One request that an endpoint has read, whether or not it ran it.
struct Arrival {
  std::string service;
  std::string endpoint;
  std::string request_id;
  TimePoint at;
};

/// One execution of a request at an endpoint.
struct Run {
  std::string endpoint;
  std::string request_id;
  std::string target;
  std::string body;
  std::string customer;
  http::Headers headers;
  /// Id of the first event of a stream.
  int first_event = 0;
  /// When the endpoint began to run it.
  TimePoint at;
};

/// Where a crash of its engine cuts an answer.
enum class CutAt {
  /// Inside an event, if the answer is unframed; a framed one is aborted.
  kInsideEvent,
  kBetweenEvents,
  /// As between events, and a request that crashes the engine gets a head only.
  kBeforeFirstEvent,
};

/// How a request that crashes engines does so.
enum class CrashForm {
  /// As its engine begins to write, and closes its connections.
  kWhileWriting,
  /// The same before the head of the answer.
  kBeforeHead,
  /// As it begins to write, the engine's machine falls silent: connections stay
  /// open, and those that are opened get no answer.
  kSilent,
  /// Before the head of the answer, the last engine of its path crashes.
  kAtLastEngine,
};

/// All endpoints of the fleet, served by one event loop.
/// Thread safety: only on the loop's thread.
class Endpoints {
 public:
  /// Number of events in each streamed answer, and the time between two.
  static constexpr int kEvents = 20;
  static constexpr Duration kEventGap = std::chrono::milliseconds(20);
  /// A plain answer to a target that ends with this has this many bytes.
  static constexpr const char* kLongAnswer = "/long-answer";
  static constexpr std::size_t kLongAnswerBytes = 24UL * 1024 * 1024;
  /// The same, with fewer bytes than a router relays before it has all of them.
  static constexpr const char* kMediumAnswer = "/medium-answer";
  static constexpr std::size_t kMediumAnswerBytes = 100UL * 1024;
  /// The same, with more bytes than a router holds back, all of the request's
  /// own.
  static constexpr const char* kOwnLongAnswer = "/own-long-answer";
  static constexpr std::size_t kOwnLongAnswerBytes = 600UL * 1024;
  static constexpr Duration kSlowDelay = std::chrono::milliseconds(1800);
  /// A request that has this body, or whose target ends with it, crashes each
  /// endpoint that begins to run it.
  static constexpr const char* kCrashingContent = "crash";
  /// Part of a prompt that crashes each engine that begins to write an answer
  /// on it, unless it is the last part of the prompt.
  static constexpr const char* kCrashingPart = "bad0bad0";
  /// Time from the begin of such a run to the crash unless another is set, and
  /// until the endpoint is back, with a new id and no layers.
  static constexpr Duration kCrashDelay = std::chrono::milliseconds(15);
  static constexpr Duration kRestartDelay = std::chrono::milliseconds(800);

  /// Precondition: \p event_loop and \p registry outlive the object. Models
  /// have \p layer_count layers.
  Endpoints(http::Loop& event_loop, Store& registry, std::uint32_t layer_count);

  /// Starts an endpoint and registers it.
  void Add(const EndpointSpec& spec);
  /// Sets the fault of an endpoint; one that is not running has none.
  void SetFault(const std::string& id, EndpointFault fault);
  /// Sets how an endpoint spoils its answers.
  void SetAnswerFault(const std::string& id, AnswerFault fault);
  /// Sets the requests per second that an endpoint states in its answers;
  /// nothing for no limit. It serves more all the same.
  void SetLimit(const std::string& id, std::optional<double> per_second);
  /// Makes an endpoint turn away all requests with 503 and \p retry_after as
  /// the value of Retry-After; nothing ends it.
  void SetShedding(const std::string& id,
                   std::optional<std::string> retry_after);
  /// Makes an endpoint say in its answers that it leaves; its registration
  /// stays.
  void SetLeaving(const std::string& id);
  /// Returns when the endpoint \p id turned requests away, or answered them
  /// while leaving.
  const std::vector<TimePoint>& NoticesOf(const std::string& id) {
    return this->notices[id];
  }
  /// Sets whether engines report which engine of an answer's path is
  /// unresponsive.
  void ReportStalls(bool named) { this->report_stalls = named; }
  /// Makes engines end an answer that has stalled for \p time, as those of the
  /// platform do when another engine of its path is silent.
  void EndStalledAfter(Duration time) { this->stall_limit = time; }
  /// Sets the time between two events.
  void SetEventGap(Duration gap) { this->event_gap = gap; }
  /// Sets whether answers have neither a length nor chunks: they end with their
  /// connection.
  void SendUnframed(bool sends) { this->unframed = sends; }
  /// Sets where a crash cuts answers.
  void CutAnswersAt(CutAt where) { this->cut_at = where; }
  /// Sets how requests crash engines from now on.
  void CrashAs(CrashForm form) { this->crash_form = form; }
  /// Sets the time from the begin of such a run to the crash.
  void CrashAfterBegin(Duration delay) { this->crash_delay = delay; }
  /// Sets how long after the head of an answer an engine begins to write it, as
  /// one that reads a long prompt does.
  void BeginAfter(Duration delay) { this->begin_delay = delay; }
  /// Registers an endpoint as draining; it continues to serve.
  void Drain(const std::string& id);
  /// Removes an endpoint: stops listening and aborts all its connections.
  void Crash(const std::string& id);

  /// Removes an endpoint like Crash; after kRestartDelay another one starts at
  /// its address.
  void CrashAndRestart(const std::string& id);

  /// Returns the address of the running endpoint \p id.
  std::string AddressOf(const std::string& id) const {
    return this->endpoints.at(id).spec.address;
  }
  /// Returns the id of the endpoint at \p address; empty if there is none.
  std::string IdAt(const std::string& address);

  /// Returns the whole body of the plain answer of the endpoint \p id to the
  /// request \p request_id for \p target.
  static std::string PlainBody(const std::string& id,
                               const std::string& request_id,
                               const std::string& target);
  /// Returns the events of an answer from the number \p first on.
  static std::string EventsText(int first = 1);

  const std::vector<Run>& Runs() const { return this->runs; }
  /// Returns the requests of callers that reached endpoints, in order of time.
  const std::vector<Arrival>& Arrivals() const { return this->arrivals; }
  /// Returns the violated guarantees: a path that isn't a cover, an
  /// order of too many layers, a request for another endpoint that was run.
  const std::vector<std::string>& Violations() const {
    return this->violations;
  }
  std::uint64_t Orders() const { return this->orders; }
  std::uint64_t Reroutes() const { return this->reroutes; }
  /// Returns the number of streams in flight.
  std::size_t RunningStreams() const { return this->streams.size(); }

 private:
  struct Stage {
    std::string address;
    /// The start of the engine there that holds the answer's state.
    std::string endpoint;
    pipeline::LayerRange layers;
  };
  struct Endpoint {
    EndpointSpec spec;
    /// Differs for each start, as a time in milliseconds does.
    std::uint64_t start_time = 0;
    std::unique_ptr<http::Server> server;
    EndpointFault fault = EndpointFault::kNone;
    AnswerFault answer_fault = AnswerFault::kNone;
    std::optional<double> limit;
    std::optional<std::string> shedding;
    bool leaving = false;
    /// Whether its machine fell silent; only its restart ends that.
    bool silent = false;
    pipeline::LayerRange layers;
    std::uint64_t sequence = 0;
    std::string state = "ready";
    std::vector<std::shared_ptr<http::Exchange>> unanswered;
    /// Requests in the order in which they came while it was stopped.
    std::vector<std::shared_ptr<http::Exchange>> unread;
  };
  struct Stream {
    std::string endpoint;
    std::string request_id;
    std::vector<Stage> path;
    std::shared_ptr<http::Exchange> exchange;
    int next = 1;
    bool unframed = false;
    /// Whether the head of the answer was sent.
    bool begun = false;
    Duration stalled{0};
  };

  void Register(const Endpoint& endpoint);
  void Handle(const std::string& id, std::shared_ptr<http::Exchange> exchange);
  /// Returns a run of \p request that begins now.
  Run RunOf(const Endpoint& endpoint, const http::Request& request);
  void RecordArrival(const Endpoint& endpoint, const http::Request& request);
  /// Turns \p exchange away if \p endpoint sheds; returns whether it does.
  bool Shed(const Endpoint& endpoint, http::Exchange& exchange);
  void AddNotices(http::ResponseHead& head, const Endpoint& endpoint);
  void HandleOrder(Endpoint& endpoint, http::Exchange& exchange);
  void HandleReport(const Endpoint& endpoint, http::Exchange& exchange);
  void Serve(Endpoint& endpoint, std::shared_ptr<http::Exchange> exchange);
  /// Crashes the endpoint \p id shortly if \p request is one that does so.
  void CrashAfter(const std::string& id, const http::Request& request);
  /// Sends \p body as an unframed answer, or as the fault says instead of it.
  void SendPlainUnframed(const Endpoint& endpoint,
                         const std::shared_ptr<http::Exchange>& exchange,
                         http::ResponseHead head, const std::string& body);
  void ServePlain(Endpoint& endpoint,
                  const std::shared_ptr<http::Exchange>& shared);
  void ServeStream(Endpoint& endpoint,
                   std::shared_ptr<http::Exchange> exchange);
  /// Runs the request of \p exchange and answers with the fault of
  /// \p endpoint.
  void ServeFaulty(const Endpoint& endpoint,
                   const std::shared_ptr<http::Exchange>& exchange);
  /// Sends the head of the answer, and then its events.
  void BeginStream(const std::shared_ptr<Stream>& stream,
                   const http::ResponseHead& head);
  void BeginWriting(const std::shared_ptr<Stream>& stream);
  /// Crashes an engine of \p stream shortly, as the form of crashes says.
  void CrashForStream(const std::shared_ptr<Stream>& stream);
  /// Makes an engine fall silent; after kRestartDelay another one starts at its
  /// address.
  void FallSilent(const std::string& id);
  /// After kRestartDelay replaces the registration \p id by another start.
  void RestartLater(const std::string& id, EndpointSpec spec);
  /// Sends bytes for as long as \p exchange is open.
  void SendWithoutEnd(const std::shared_ptr<http::Exchange>& exchange);
  void SendNextEvent(const std::shared_ptr<Stream>& stream);
  /// Waits for the silent engine of a path, up to the limit.
  void AwaitPath(const std::shared_ptr<Stream>& stream);
  void EndStream(const std::shared_ptr<Stream>& stream);
  std::vector<Stage> ParsePath(const std::string& text) const;
  Endpoint* FindByAddress(const std::string& address);
  /// Returns the address of the first stage of \p path that is unresponsive,
  /// stopped or removed; empty if there is none.
  std::string UnresponsiveAddress(const std::vector<Stage>& path);
  void CheckCover(const std::vector<Stage>& path);

  http::Loop& loop;
  Store& store;
  std::uint32_t layers;
  std::map<std::string, Endpoint> endpoints;
  std::set<std::shared_ptr<Stream>> streams;
  std::vector<Run> runs;
  std::vector<Arrival> arrivals;
  std::vector<std::string> violations;
  std::map<std::string, std::vector<TimePoint>> notices;
  std::uint64_t orders = 0;
  std::uint64_t reroutes = 0;
  std::uint64_t restarts = 0;
  std::uint64_t starts = 0;
  bool report_stalls = true;
  bool unframed = false;
  CutAt cut_at = CutAt::kInsideEvent;
  CrashForm crash_form = CrashForm::kWhileWriting;
  Duration crash_delay = kCrashDelay;
  Duration begin_delay{0};
  Duration event_gap = kEventGap;
  Duration stall_limit = Duration::max();
};

}  // namespace toucanwharf::standins::fleet

#endif  // TOUCANWHARF_STANDINS_FLEET_ENDPOINTS_H_
