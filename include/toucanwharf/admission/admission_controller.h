#ifndef TOUCANWHARF_ADMISSION_ADMISSION_CONTROLLER_H_
#define TOUCANWHARF_ADMISSION_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "toucanwharf/admission/cost.h"
#include "toucanwharf/admission/limiter.h"
#include "toucanwharf/admission/queue.h"
#include "toucanwharf/admission/retry_budget.h"
#include "toucanwharf/routing/ejection.h"
#include "toucanwharf/routing/endpoint_choice.h"
#include "toucanwharf/routing/load_view.h"
#include "toucanwharf/routing/prefix_index.h"
#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

/// \file
/// Admission, queueing, endpoint choice and retries for one pool of endpoints
/// (the runners of one model version, or of one plain service).
///
/// \code
///   AdmissionController controller(AdmissionSettings{}, /*seed=*/7);
///   controller.AddEndpoint(now, "e1", {.slots = 8}, /*fresh=*/false);
///   // A request arrives; it is queued or refused immediately.
///   const OfferResult offered = controller.Offer(now, {.id = "r1",
///       .customer = "atlas",
///       .size = {.prompt_tokens = 300, .max_tokens = 64},
///       .deadline = now + std::chrono::seconds(5)});
///   if (const auto* refusal = std::get_if<Refusal>(&offered)) Reply(*refusal);
///   // After each Offer, Finished, Report and Tick:
///   for (const Refusal& late : controller.Tick(now)) Reply(late);
///   while (const auto next = controller.Next(now)) {
///     Send(next->id, next->endpoints);
///   }
///   // Engine events:
///   controller.Report("e1",
///       {.running = 3, .kv_tokens_free = 9000, .as_of = then});
///   controller.Finished(now, "r1", Outcome::kWhole, /*output_tokens=*/61);
/// \endcode
namespace toucanwharf::admission {

/// A request as submitted for admission.
struct Request {
  std::string id;
  std::string customer;
  RequestSize size;
  /// Latest time at which the first token is of use to the caller.
  TimePoint deadline;
  /// Hashes of the prompt's prefixes, the longest first; may be empty.
  std::vector<std::uint64_t> prefixes;

  friend bool operator==(const Request&, const Request&) = default;
};

/// Why a request is not admitted.
enum class RefusalReason {
  /// Its customer's backlog takes longer to drain than the request can wait.
  kBacklog,
  /// It was queued and can no longer be answered in time.
  kDeadline,
  /// No endpoint of the pool accepts work.
  kNoEndpoint,
};

/// Returns what the caller or operator can do about \p reason.
std::string_view RemedyOf(RefusalReason reason);

/// A final response: the request did not run (I3).
struct Refusal {
  std::string id;
  RefusalReason reason = RefusalReason::kBacklog;
  Duration retry_after{0};

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// The request is queued until Next() returns it; \p expected is its likely
/// wait.
struct Waiting {
  Duration expected{0};

  friend bool operator==(const Waiting&, const Waiting&) = default;
};

using OfferResult = std::variant<Waiting, Refusal>;

/// A request to be sent to its endpoints now.
struct Dispatch {
  std::string id;
  /// The stages in order; a single one for a pool whose endpoints answer alone.
  std::vector<routing::Endpoint> endpoints;
  routing::Work work;

  friend bool operator==(const Dispatch&, const Dispatch&) = default;
};

/// How a dispatched request ended.
enum class Outcome {
  kWhole,
  /// An endpoint failed it; Failed() says which.
  kFailed,
  /// An endpoint refused it before it ran, for lack of a slot or memory.
  kRefused,
  /// The caller disconnected.
  kCancelled,
};

/// Settings of all components of an AdmissionController.
struct AdmissionSettings {
  QueueSettings queue;
  LimiterSettings limiter;
  RetryBudgetSettings retries;
  routing::EjectionSettings ejection;
  std::size_t draws = routing::kDefaultDraws;
};

/// Picks the endpoints for \p work; returns nothing if none has free capacity.
template <typename T>
concept Planner = requires(T& plan, const Request& request,
                           const routing::Work& work) {
  {
    plan(request, work)
    } -> std::same_as<std::optional<std::vector<routing::Endpoint>>>;
};

/// Admits the requests of one pool of endpoints, queues them, and picks the
/// endpoint and the time to send each. A router owns one per pool.
/// Thread safety: none; for one thread.
class AdmissionController {
 public:
  AdmissionController(const AdmissionSettings& settings, std::uint64_t seed);

  /// Adds endpoint \p id or changes its specification. \p fresh: it has just
  /// joined the pool (slow start).
  routing::Endpoint AddEndpoint(TimePoint now, std::string_view id,
                                const routing::EndpointSpec& spec, bool fresh);

  /// Sends no new work to endpoint \p id (I5). Work in flight there continues.
  void RemoveEndpoint(std::string_view id);

  /// Applies a load report of endpoint \p id. Unknown ids are ignored.
  void Report(std::string_view id, const routing::LoadReport& report);

  /// Applies an event of the prefix cache of endpoint \p id.
  void CacheChanged(std::string_view id, const routing::CacheEvent& event);

  /// Sets how many routers send to this pool, including this one. Precondition:
  /// \p routers > 0.
  void SetRouters(std::uint32_t routers);

  /// Queues \p request or refuses it immediately. Precondition: its id is not
  /// in use.
  OfferResult Offer(TimePoint now, const Request& request);

  /// Returns the next request to send, planned by \p plan, or nothing if none
  /// is queued or no endpoint has free capacity. Counts it as dispatched.
  template <Planner P>
  std::optional<Dispatch> Next(TimePoint now, P&& plan) {
    const Ticket* front = this->NextTicket();
    if (front == nullptr) return std::nullopt;
    const Request& request = this->requests.at(front->id).request;
    const routing::Work work = this->WorkOf(request);
    const auto endpoints = plan(request, work);
    if (!endpoints || endpoints->empty()) return std::nullopt;
    return this->DispatchRequest(now, front->id, *endpoints, work);
  }

  /// As above, with one endpoint chosen by expected finish.
  std::optional<Dispatch> Next(TimePoint now);

  /// Corrects the cost of request \p id, which has emitted \p emitted tokens.
  /// To be called periodically while it runs, not for each token.
  void Progress(const std::string& id, double emitted);

  /// Records that an endpoint of a request failed. Returns true if this ejected
  /// the endpoint.
  bool Failed(TimePoint now, routing::Endpoint endpoint);

  /// Records that \p endpoint refused, for lack of a slot or memory, a request
  /// that resumes elsewhere. It gets no more work until its next report.
  void EndpointFull(routing::Endpoint endpoint);

  /// Records that request \p id, which was dispatched, continues on
  /// \p endpoints after a stage was replaced.
  void Rerouted(TimePoint now, const std::string& id,
                const std::vector<routing::Endpoint>& endpoints);

  /// Records the end of request \p id after \p output_tokens, and forgets it.
  /// Precondition: it was dispatched.
  void Finished(TimePoint now, const std::string& id, Outcome outcome,
                double output_tokens);

  /// Requeues a dispatched request at its previous position, after an endpoint
  /// refused or lost it before it ran. Returns false if the retry budget is
  /// spent or \p prior and \p idempotent forbid a retry; the caller then
  /// reports the end by Finished().
  bool Requeue(TimePoint now, const std::string& id, Outcome outcome,
               PriorAttempt prior, bool idempotent);

  /// Drops a queued request because its caller disconnected. Returns whether it
  /// was queued.
  bool Cancel(TimePoint now, const std::string& id);

  /// Refuses queued requests that can no longer be answered in time, and
  /// advances slow starts and charges for unresponsive peers. To be called
  /// about every 100 ms.
  std::vector<Refusal> Tick(TimePoint now);

  /// Returns the Retry-After for a caller that is refused now.
  Duration RetryAfter(TimePoint now, std::string_view customer,
                      Duration allowed);

  /// Returns whether \p endpoint may get one more request of this router.
  bool HasRoom(routing::Endpoint endpoint) const {
    return this->limiter.HasRoom(endpoint);
  }

  /// Components, for planners, gossip, records and metrics.
  const routing::LoadView& Loads() const { return this->loads; }
  const Limiter& Limits() const { return this->limiter; }
  const routing::Ejection& Ejections() const { return this->ejection; }
  routing::EndpointNames& Names() { return this->names; }
  Shares& CustomerShares() { return this->queue.SharesOf(); }
  RetryBudget& Retries() { return this->retries; }
  std::size_t WaitingCount() const { return this->queue.size(); }
  double Backlog() const { return this->queue.Backlog(); }

 private:
  struct TrackedRequest {
    Request request;
    Ticket ticket;
    std::vector<routing::Endpoint> endpoints;
    routing::Work work;
    TimePoint dispatched_at;
    double charged_cost = 0;
    bool attempted = false;
  };

  const Ticket* NextTicket() const;
  void UpdatePoolShare();
  routing::Work WorkOf(const Request& request) const;
  Ticket MakeTicket(TimePoint now, const Request& request);
  std::optional<Dispatch> DispatchRequest(
      TimePoint now, const std::string& id,
      const std::vector<routing::Endpoint>& endpoints,
      const routing::Work& work);
  void Occupy(TimePoint now, TrackedRequest& tracked,
              const std::vector<routing::Endpoint>& endpoints);
  void Release(TimePoint now, TrackedRequest& tracked, Outcome outcome);
  void Observe(TimePoint now, const TrackedRequest& tracked,
               double output_tokens);
  bool IsMember(routing::Endpoint endpoint) const;
  std::optional<routing::CachedPrefix> FindCachedPrefix(
      const Request& request) const;

  routing::EndpointNames names;
  routing::LoadView loads;
  routing::Ejection ejection;
  routing::PrefixIndex prefixes;
  routing::BestOfDraws choice;
  CostModel costs;
  Limiter limiter;
  FairQueue queue;
  RetryBudget retries;
  Random random;
  std::unordered_map<std::string, TrackedRequest> requests;
  std::vector<routing::Endpoint> members;
  std::vector<bool> is_member;
  double best_prefill = 0;
  double tokens_per_second = 0;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_ADMISSION_CONTROLLER_H_
