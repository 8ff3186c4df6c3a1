#ifndef TOUCANWHARF_DAEMON_ANSWER_ADMISSION_H_
#define TOUCANWHARF_DAEMON_ANSWER_ADMISSION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "toucanwharf/admission/admission_controller.h"
#include "toucanwharf/daemon/directory.h"
#include "toucanwharf/daemon/metrics.h"
#include "toucanwharf/pipeline/answer.h"
#include "toucanwharf/pipeline/planner.h"
#include "toucanwharf/support/random.h"
#include "toucanwharf/transport/event_loop.h"

namespace toucanwharf::daemon {

/// What becomes of an answer that was offered; one of the two is called, once.
struct AdmissionHandlers {
  std::function<void(const pipeline::Plan&)> on_plan;
  std::function<void(const admission::Refusal&)> on_refuse;
};

/// Lets answers in: one admission gate for the engines of each model version,
/// and the planner behind it.
/// Thread safety: none; for the loop's thread.
class AnswerAdmission {
 public:
  /// Precondition: all references outlive the gate.
  AnswerAdmission(transport::EventLoop& loop, Directory& directory,
                  Metrics& metrics, std::uint64_t seed);
  AnswerAdmission(const AnswerAdmission&) = delete;
  AnswerAdmission& operator=(const AnswerAdmission&) = delete;

  /// Follows the directory's engines and refuses what waits too long.
  /// Precondition: called once, before the directory starts.
  void Start();

  /// Offers \p request of \p customer. A handler may be called before this
  /// returns. Precondition: the id is not known to the gate.
  void Offer(const pipeline::AnswerRequest& request,
             const std::string& customer, AdmissionHandlers handlers);

  /// Returns a plan for an answer that is under way and lost its stages. It
  /// doesn't wait for its turn again, and takes also an engine that is full:
  /// its caller has had part of the answer.
  Result<pipeline::Plan> Replan(const pipeline::PlanQuery& query);

  /// Notes that answer \p id goes on with \p plan.
  void RecordPlan(const std::string& id, const pipeline::Plan& plan);

  /// Notes that \p endpoint refused an attempt of answer \p id.
  void RecordEndpointRefusal(const std::string& id,
                             const std::string& endpoint);

  /// Notes a failure that speaks against \p endpoint.
  void RecordEndpointFailure(const std::string& id,
                             const std::string& endpoint);

  /// Notes the end of answer \p id after \p tokens; without effect when it is
  /// unknown.
  void RecordEnd(const std::string& id, bool whole, std::uint32_t tokens);

  /// Drops answer \p id if it still waits; its handlers are not called.
  /// Returns whether it waited.
  bool Cancel(const std::string& id);

  /// Returns the part of all tokens that \p customer had here, 0 to 1.
  double TrafficShareOf(const std::string& customer);

 private:
  using PoolKey = std::pair<std::string, std::string>;
  struct Pool {
    explicit Pool(std::uint64_t seed) : gate({}, seed) {}
    admission::AdmissionController gate;
  };
  struct Held {
    PoolKey pool;
    pipeline::AnswerRequest request;
    std::string customer;
    AdmissionHandlers handlers;
    bool waiting = true;
    std::optional<pipeline::Plan> plan;
  };

  Pool& PoolOf(const PoolKey& key);
  Pool* PoolWith(const std::string& endpoint);
  void TakeStatus(const pipeline::EndpointView& view, std::uint32_t slots);
  void TakeLoad(const std::string& id, const EngineLoad& load);
  void TakeGone(const std::string& id);
  void Pump(const PoolKey& key);
  void Tick();
  void Refuse(const admission::Refusal& refusal);

  transport::EventLoop& loop;
  Directory& directory;
  Metrics& metrics;
  std::uint64_t seed;
  Random random;
  std::map<PoolKey, Pool> pools;
  std::map<std::string, PoolKey> pool_of_engine;
  std::map<std::string, Held> offers;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_ANSWER_ADMISSION_H_
