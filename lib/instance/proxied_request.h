#ifndef TOUCANWHARF_LIB_INSTANCE_PROXIED_REQUEST_H_
#define TOUCANWHARF_LIB_INSTANCE_PROXIED_REQUEST_H_

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/attempts/attempt_policy.h"
#include "toucanwharf/attempts/stall_detector.h"
#include "toucanwharf/http/event_splitter.h"
#include "toucanwharf/instance/gateway.h"
#include "toucanwharf/placement/path_finder.h"

namespace toucanwharf::instance {

/// An engine that refuses while more than this part of its room is taken, as
/// far as is known, is taken as full.
inline constexpr double kFull = 0.6;

/// Returns whether \p endpoint runs one of \p stages. Thread safety: safe.
inline bool RunsThrough(const std::vector<pipeline::Stage>& stages,
                        const std::string& endpoint) {
  return std::any_of(
      stages.begin(), stages.end(),
      [&](const pipeline::Stage& stage) { return stage.endpoint == endpoint; });
}

/// What the gateway knows of a request before it is passed on.
struct Admitted {
  std::shared_ptr<const routes::RouteTable> table;
  const routes::Route* route = nullptr;
  const routes::Service* service = nullptr;
  /// Empty for a route that needs no key.
  std::string customer;
  TimePoint arrived;
  /// When the final answer is due.
  TimePoint deadline;
};

/// One request on its way: tries endpoints, hands the answer back, and goes on
/// elsewhere when an endpoint fails. proxied_request.cc has its life from the
/// first try to the end, proxied_request_target.cc where a try goes and what is
/// sent there, proxied_request_stall.cc what is done when an endpoint says
/// nothing. Thread safety: only on the loop's thread.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
 public:
  ProxiedRequest(Gateway& owner, std::shared_ptr<http::Exchange> caller,
                 Admitted what);
  ~ProxiedRequest();
  ProxiedRequest(const ProxiedRequest&) = delete;
  ProxiedRequest& operator=(const ProxiedRequest&) = delete;

  void Start();
  /// Looks for room again. Returns whether this request need not wait any
  /// longer: it was sent, refused, or its caller is gone.
  bool LeaveQueue();
  /// Looks at once whether \p endpoint, which is silent, has stopped this
  /// answer.
  void OnEngineSilent(const std::string& endpoint);
  /// Returns what the answer shows of the engines that it runs through; nothing
  /// before its first event from them.
  std::optional<endpoints::LivenessEvidence> Sign() const;

 private:
  /// Where a try goes.
  struct Target {
    std::string endpoint;
    std::string address;
    std::vector<pipeline::Stage> stages;
    double token_millis = 0;
  };

  bool IsStream() const {
    return this->what.route->kind == routes::RequestKind::kStream;
  }
  bool IsModel() const { return this->what.service->engine.has_value(); }

  void Try();
  std::optional<Target> Choose();
  std::optional<Target> ChooseAgain(attempts::AttemptOutcome end);
  /// \p current is the path of an answer that is led around an engine, else
  /// empty.
  std::optional<Target> ChoosePath(const std::vector<pipeline::Stage>& current);
  std::optional<Target> ChoosePlain();
  http::Request BuildRequest(const Target& target) const;
  void Send(const Target& target);

  void OnHead(const http::ResponseHead& head);
  void OnData(std::string_view bytes);
  void OnDone(const http::CallResult& result);
  void JudgeHead(const http::ResponseHead& head);
  void BeginStream(const http::ResponseHead& head);
  void FinishPlain();
  void EndTry(attempts::AttemptOutcome end, std::string_view why);
  void Proceed(attempts::AttemptOutcome end, std::string_view why);

  bool MayQueue() const;
  void WatchSilence(Duration delay);
  Duration Patience() const;
  void OnSilence();
  /// Returns whether an engine of the path is known to be silent.
  bool HasSilentEngine() const;
  void AskEngines();
  void OnFirstEngine(const ProbeAnswer& answer);
  void GoAround();
  bool HasPlaceElsewhere();
  void TryElsewhere(std::string_view why);
  void Repath();
  void OnRepathed(const std::vector<pipeline::Stage>& stages, int status,
                  const std::string& body);
  void OnRepathRefused(const std::vector<pipeline::Stage>& stages,
                       const std::string& fault);
  void NoteSilentAt(const std::string& address);
  void CountLoad();
  double RoomUsed(const std::string& id) const;
  /// Keeps new work from \p endpoint, which refused, \p full or not.
  void NoteRefusal(const std::string& endpoint, bool full);
  void AwaitPlace(attempts::AttemptOutcome end, std::string_view why);
  void OnDeadline();
  void OnCallerGone();

  void Refuse(std::string_view why);
  void Fail(int status, std::string_view why);
  void Finish(std::string_view outcome, int status);
  void CancelCall();
  void ReleaseLoad();
  void Log(eventlog::Level level, std::string_view event,
           const eventlog::Fields& more) const;

  Gateway& gateway;
  std::shared_ptr<http::Exchange> exchange;
  Admitted what;
  std::string request_id;
  double prompt_tokens = 0;
  double output_tokens = 0;

  attempts::AttemptCounts tries;
  std::set<std::string> excluded;
  Target target;
  std::vector<gossip::EndpointLoad> counted;
  http::CallId call = 0;
  http::TimerId deadline_timer = 0;
  http::TimerId silence_timer = 0;
  /// The first engine is being asked for its report.
  bool asking = false;
  /// An order to change the path is on its way.
  bool changing_path = false;
  /// Questions since the last event.
  int asked_again = 0;
  /// Changes of path that were refused since the last event.
  int refused_changes = 0;
  attempts::StallDetector pace;
  Duration first_event_after{0};
  TimePoint try_began;
  TimePoint last_data;

  http::ResponseHead head;
  bool has_head = false;
  /// The head is one that can be handed on.
  bool head_good = false;
  std::optional<attempts::AttemptOutcome> head_verdict;
  std::string body;
  http::EventSplitter events;
  bool any_event = false;
  /// Pieces of the body handed out.
  std::int64_t chunks_written = 0;
  bool finished = false;
  /// The caller is gone, and the work goes on.
  bool abandoned = false;
  placement::NoPathReason lack = placement::NoPathReason::kNone;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_LIB_INSTANCE_PROXIED_REQUEST_H_
