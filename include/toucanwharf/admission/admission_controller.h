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
/// All decisions under load for one pool of endpoints (the runners of one
/// model version, or of one plain service), behind one small interface.
///
/// \code
///   AdmissionController gate(AdmissionSettings{}, /*seed=*/7);
///   gate.AddEndpoint(now, "e1", {.slots = 8}, /*fresh=*/false);
///   // A request comes in; it waits or is refused at once.
///   const Offered offered = gate.Offer(now, {.id = "r1", .customer = "atlas",
///       .size = {.prompt_tokens = 300, .max_tokens = 64},
///       .deadline = now + std::chrono::seconds(5)});
///   if (const auto* refusal = std::get_if<Refusal>(&offered)) Reply(*refusal);
///   // After each Offer, Finished, Report and Tick:
///   for (const Refusal& late : gate.Tick(now)) Reply(late);
///   while (const auto next = gate.Next(now)) Send(next->id, next->endpoints);
///   // Engine events:
///   gate.Report("e1", {.running = 3, .kv_tokens_free = 9000, .as_of = then});
///   gate.Finished(now, "r1", Outcome::kWhole, /*output_tokens=*/61);
/// \endcode
namespace toucanwharf::admission {

/// A request as the gate sees it.
struct Request {
  std::string id;
  std::string customer;
  RequestSize size;
  /// Latest point at which the first token is of use to the caller.
  TimePoint deadline;
  /// Hashes of the prompt's prefixes, the longest first; may be empty.
  std::vector<std::uint64_t> prefixes;

  friend bool operator==(const Request&, const Request&) = default;
};

/// Why a request is not let in.
enum class RefusalReason {
  /// Its customer's backlog takes longer to drain than the request can wait.
  kBacklog,
  /// It waited, and can't be answered in time any more.
  kDeadline,
  /// No endpoint of the pool may get work.
  kNoEndpoint,
};

/// Returns what the caller or operator can do about \p reason.
std::string_view RemedyOf(RefusalReason reason);

/// A final answer: the request did not run (I3).
struct Refusal {
  std::string id;
  RefusalReason reason = RefusalReason::kBacklog;
  Duration retry_after{0};

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// The request waits for Next() to name it; \p expected is its likely wait.
struct Waiting {
  Duration expected{0};

  friend bool operator==(const Waiting&, const Waiting&) = default;
};

using OfferResult = std::variant<Waiting, Refusal>;

/// A request to be handed over now.
struct Dispatch {
  std::string id;
  /// The stages in order; one for a pool whose endpoints answer alone.
  std::vector<routing::Endpoint> endpoints;
  routing::Work work;

  friend bool operator==(const Dispatch&, const Dispatch&) = default;
};

/// How a request that was handed over ended.
enum class Outcome {
  kWhole,
  /// An endpoint failed it; Failed() says which.
  kFailed,
  /// An endpoint refused it before it ran, for want of a slot or memory.
  kRefused,
  /// The caller left.
  kCancelled,
};

/// The settings of all units of a gate.
struct AdmissionSettings {
  QueueSettings queue;
  LimiterSettings limiter;
  RetryBudgetSettings retries;
  routing::EjectionSettings ejection;
  std::size_t draws = routing::kDefaultDraws;
};

/// Picks the endpoints for \p work; nothing when none has room.
template <typename T>
concept Planner = requires(T& plan, const Request& request,
                           const routing::Work& work) {
  {
    plan(request, work)
    } -> std::same_as<std::optional<std::vector<routing::Endpoint>>>;
};

/// Decisions under load for one pool.
/// Thread safety: none; for one thread.
class AdmissionController {
 public:
  AdmissionController(const AdmissionSettings& settings, std::uint64_t seed);

  /// Learns of endpoint \p id or changes its specification. \p fresh: it has
  /// just joined the pool (slow start).
  routing::Endpoint AddEndpoint(TimePoint now, std::string_view id,
                                const routing::EndpointSpec& spec, bool fresh);

  /// Gives endpoint \p id no new work (I5). What runs there goes on.
  void RemoveEndpoint(std::string_view id);

  /// Takes in a load report of endpoint \p id. Unknown ids are ignored.
  void Report(std::string_view id, const routing::LoadReport& report);

  /// Takes in an event of the prefix cache of endpoint \p id.
  void CacheChanged(std::string_view id, const routing::CacheEvent& event);

  /// Sets how many routers send to this pool, this one included.
  /// Precondition: \p routers > 0.
  void SetRouters(std::uint32_t routers);

  /// Takes \p request in or refuses it at once.
  /// Precondition: its id is not known to the gate.
  OfferResult Offer(TimePoint now, const Request& request);

  /// Returns the next request to hand over, planned by \p plan, or nothing
  /// when none waits or no endpoint has room. Counts it as handed over.
  template <Planner P>
  std::optional<Dispatch> Next(TimePoint now, P&& plan) {
    const Ticket* front = this->NextTicket();
    if (front == nullptr) return std::nullopt;
    const Request& request = this->requests.at(front->id).request;
    const routing::Work work = this->WorkOf(request);
    const auto endpoints = plan(request, work);
    if (!endpoints || endpoints->empty()) return std::nullopt;
    return this->HandOver(now, front->id, *endpoints, work);
  }

  /// The same, with one endpoint chosen by expected finish.
  std::optional<Dispatch> Next(TimePoint now);

  /// Corrects the cost of request \p id, of which \p emitted tokens went out.
  /// To be called now and then while it runs, not for each token.
  void Progress(const std::string& id, double emitted);

  /// Notes that an endpoint of a request failed. Returns true when this
  /// ejected the endpoint.
  bool Failed(TimePoint now, routing::Endpoint endpoint);

  /// Notes that \p endpoint refused a request that goes on elsewhere for want
  /// of a slot or memory; it gets nothing more until it reports.
  void EndpointFull(routing::Endpoint endpoint);

  /// Notes that request \p id, which was handed over, goes on at
  /// \p endpoints: a stage was replaced.
  void Rerouted(TimePoint now, const std::string& id,
                const std::vector<routing::Endpoint>& endpoints);

  /// Notes the end of request \p id after \p output_tokens, and forgets it.
  /// Precondition: it was handed over.
  void Finished(TimePoint now, const std::string& id, Outcome outcome,
                double output_tokens);

  /// Puts a request that was handed over back at its old place, after an
  /// endpoint refused or lost it before it ran. Returns false when the retry
  /// budget is spent or \p before and \p idempotent forbid it: the caller then
  /// reports the end by Finished().
  bool Requeue(TimePoint now, const std::string& id, Outcome outcome,
               TryOutcome before, bool idempotent);

  /// Drops a request that waits because its caller left. Returns whether it
  /// was there.
  bool Cancel(TimePoint now, const std::string& id);

  /// Refuses what can't be answered in time any more, and moves slow starts
  /// and silent peers on. To be called every 100 ms or so.
  std::vector<Refusal> Tick(TimePoint now);

  /// Returns the time until a caller that is refused now should come back.
  Duration RetryAfter(TimePoint now, std::string_view customer,
                      Duration allowed);

  /// Returns whether \p endpoint may get one more request of this router.
  bool HasRoom(routing::Endpoint endpoint) const {
    return this->limiter.HasRoom(endpoint);
  }

  /// The parts, for planners, gossip, records and metrics.
  const routing::LoadView& Loads() const { return this->loads; }
  const Limiter& Limits() const { return this->limiter; }
  const routing::Ejection& Ejections() const { return this->ejection; }
  routing::EndpointNames& Names() { return this->names; }
  Shares& CustomerShares() { return this->queue.SharesOf(); }
  RetryBudget& Retries() { return this->retries; }
  std::size_t WaitingCount() const { return this->queue.size(); }
  double Backlog() const { return this->queue.Backlog(); }

 private:
  struct Known {
    Request request;
    Ticket ticket;
    std::vector<routing::Endpoint> endpoints;
    routing::Work work;
    TimePoint handed_over;
    double charged = 0;
    bool tried = false;
  };

  const Ticket* NextTicket() const;
  void TakePartOfPool();
  routing::Work WorkOf(const Request& request) const;
  Ticket MakeTicket(TimePoint now, const Request& request);
  std::optional<Dispatch> HandOver(
      TimePoint now, const std::string& id,
      const std::vector<routing::Endpoint>& endpoints,
      const routing::Work& work);
  void Occupy(TimePoint now, Known& known,
              const std::vector<routing::Endpoint>& endpoints);
  void Release(TimePoint now, Known& known, Outcome outcome);
  void Observe(TimePoint now, const Known& known, double output_tokens);
  bool IsMember(routing::Endpoint endpoint) const;
  std::optional<routing::CachedAt> Cached(const Request& request) const;

  routing::EndpointNames names;
  routing::LoadView loads;
  routing::Ejection ejection;
  routing::PrefixIndex prefixes;
  routing::ChooseOfDraws choice;
  CostModel costs;
  Limiter limiter;
  FairQueue queue;
  RetryBudget retries;
  Random random;
  std::unordered_map<std::string, Known> requests;
  std::vector<routing::Endpoint> members;
  std::vector<bool> is_member;
  double best_prefill = 0;
  double tokens_per_second = 0;
};

}  // namespace toucanwharf::admission

#endif  // TOUCANWHARF_ADMISSION_ADMISSION_CONTROLLER_H_
