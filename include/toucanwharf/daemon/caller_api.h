#ifndef TOUCANWHARF_DAEMON_CALLER_API_H_
#define TOUCANWHARF_DAEMON_CALLER_API_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "toucanwharf/admission/stop_plan.h"
#include "toucanwharf/daemon/answer_sessions.h"
#include "toucanwharf/daemon/entry_advice_provider.h"
#include "toucanwharf/daemon/metrics.h"
#include "toucanwharf/daemon/service_runner.h"
#include "toucanwharf/platform/config_service.h"
#include "toucanwharf/settings/settings.h"
#include "toucanwharf/transport/http_server.h"

namespace toucanwharf::daemon {

/// Serves the HTTP API for callers: authenticates the customer and dispatches
/// each request by its path.
/// Thread safety: none; for the loop's thread.
class CallerApi {
 public:
  /// Precondition: all references outlive the object.
  CallerApi(transport::EventLoop& loop, const settings::Settings& settings,
            const platform::ConfigService& config, AnswerSessions& sessions,
            ServiceRunner& services, EntryAdviceProvider& entry_advice,
            Metrics& metrics);

  /// Streams an answer that another instance runs. Returns false, without
  /// using the exchange, if that instance is not known.
  using ResumeElsewhere = std::function<bool(
      const std::string& id, std::uint32_t from, const std::string& customer,
      const std::shared_ptr<transport::Exchange>& exchange)>;

  /// Sets the fallback for answers that are not retained here.
  void SetResumeElsewhere(ResumeElsewhere resume) {
    this->resume_elsewhere = std::move(resume);
  }

  /// Returns whether the process ends before a request that needs \p time has
  /// its answer.
  using EndsWithin = std::function<bool(const admission::ExpectedTime& time)>;

  /// Sets what knows of a stop.
  void SetEndsWithin(EndsWithin ends) { this->ends_within = std::move(ends); }

  /// Serves one request. Precondition: the exchange has no answer yet.
  void Serve(const std::shared_ptr<transport::Exchange>& exchange);

  /// Returns whether requests can be served: a configuration is in force.
  bool Ready() const;

 private:
  using SharedExchange = std::shared_ptr<transport::Exchange>;

  /// Returns the customer whose key the request carries.
  std::optional<records::Customer> Authenticate(
      const transport::HttpRequest& request) const;
  bool ServeUnauthenticated(const SharedExchange& exchange);
  void ServeCompletion(const SharedExchange& exchange,
                       const records::Customer& customer,
                       CompletionShape shape);
  void ServeService(const SharedExchange& exchange,
                    const records::Customer& customer);
  void ServeResume(const SharedExchange& exchange,
                   const records::Customer& customer);
  void ServeModels(const SharedExchange& exchange);
  /// Refuses a request that the end of the process would break off. Returns
  /// whether it did.
  bool RefuseInStop(const SharedExchange& exchange,
                    const admission::ExpectedTime& time);
  void Refuse(const SharedExchange& exchange, Refusal refusal);

  transport::EventLoop& loop;
  const settings::Settings& settings;
  const platform::ConfigService& config;
  AnswerSessions& sessions;
  ServiceRunner& services;
  EntryAdviceProvider& entry_advice;
  Metrics& metrics;
  ResumeElsewhere resume_elsewhere;
  EndsWithin ends_within;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_CALLER_API_H_
