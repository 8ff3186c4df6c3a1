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

/// Outcome of an offered answer: one of the two is called, once, unless the
/// answer is cancelled before.
struct AdmissionHandlers {
  std::function<void(const pipeline::Plan&)> on_plan;
  std::function<void(const admission::Refusal&)> on_refuse;
};

/// Admits answers and plans their stages: one admission controller for the
/// engines of each model version, with the planner as its endpoint selection.
/// Thread safety: none; for the loop's thread.
class AnswerAdmission {
 public:
  /// Precondition: all references outlive the object.
  AnswerAdmission(transport::EventLoop& loop, Directory& directory,
                  Metrics& metrics, std::uint64_t seed);
  AnswerAdmission(const AnswerAdmission&) = delete;
  AnswerAdmission& operator=(const AnswerAdmission&) = delete;

  /// Observes the directory's engines and starts refusing answers that wait
  /// too long. Precondition: called once, before the directory starts.
  void Start();

  /// Offers \p request of \p customer. A handler may be called before this
  /// returns. Precondition: the id is not in use here.
  void Offer(const pipeline::AnswerRequest& request,
             const std::string& customer, AdmissionHandlers handlers);

  /// Returns a plan for a running answer that lost its stages. The answer
  /// isn't queued again and may use an engine at capacity, since its caller
  /// already has part of it.
  Result<pipeline::Plan> Replan(const pipeline::PlanQuery& query);

  /// Records that answer \p id continues on \p plan.
  void RecordPlan(const std::string& id, const pipeline::Plan& plan);

  /// Records that \p endpoint refused an attempt of answer \p id.
  void RecordEndpointRefusal(const std::string& id,
                             const std::string& endpoint);

  /// Records a failure for which \p endpoint is held responsible.
  void RecordEndpointFailure(const std::string& id,
                             const std::string& endpoint);

  /// Records the end of answer \p id after \p tokens; \p complete is false when
  /// it failed. Without effect when the answer is unknown.
  void RecordEnd(const std::string& id, bool complete, std::uint32_t tokens);

  /// Drops answer \p id if it is still queued; its handlers are not called.
  /// Returns whether it was queued.
  bool Cancel(const std::string& id);

  /// Returns \p customer's share of all tokens served here, 0 to 1.
  double TrafficShareOf(const std::string& customer);

 private:
  using PoolKey = std::pair<std::string, std::string>;
  struct Pool {
    explicit Pool(std::uint64_t seed) : controller({}, seed) {}
    admission::AdmissionController controller;
  };
  struct OfferedAnswer {
    PoolKey pool;
    pipeline::AnswerRequest request;
    std::string customer;
    AdmissionHandlers handlers;
    bool waiting = true;
    std::optional<pipeline::Plan> plan;
  };

  Pool& FindOrCreatePool(const PoolKey& key);
  Pool* FindPoolOfEngine(const std::string& endpoint);
  void ApplyStatus(const pipeline::EndpointView& view, std::uint32_t slots);
  void ApplyLoad(const std::string& id, const EngineLoad& load);
  void RemoveEngine(const std::string& id);
  void AdmitWaiting(const PoolKey& key);
  void Tick();
  void Refuse(const admission::Refusal& refusal);

  transport::EventLoop& loop;
  Directory& directory;
  Metrics& metrics;
  std::uint64_t seed;
  Random random;
  std::map<PoolKey, Pool> pools;
  std::map<std::string, PoolKey> pool_of_engine;
  std::map<std::string, OfferedAnswer> offers;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_ANSWER_ADMISSION_H_
