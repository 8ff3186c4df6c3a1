#ifndef TOUCANWHARF_DAEMON_CALLER_API_H_
#define TOUCANWHARF_DAEMON_CALLER_API_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "toucanwharf/daemon/answer_sessions.h"
#include "toucanwharf/daemon/entry_advice_provider.h"
#include "toucanwharf/daemon/metrics.h"
#include "toucanwharf/daemon/service_runner.h"
#include "toucanwharf/platform/config_service.h"
#include "toucanwharf/settings/settings.h"
#include "toucanwharf/transport/http_server.h"

namespace toucanwharf::daemon {

/// The listener for callers: which request is which, and whose it is.
/// Thread safety: none; for the loop's thread.
class CallerApi {
 public:
  /// Precondition: all references outlive the object.
  CallerApi(transport::EventLoop& loop, const settings::Settings& settings,
            const platform::ConfigService& config, AnswerSessions& sessions,
            ServiceRunner& services, EntryAdviceProvider& entries,
            Metrics& metrics);

  /// Reads an answer that another instance runs, if it can be found.
  /// Returns false, and leaves the exchange alone, if not.
  using ResumeElsewhere = std::function<bool(
      const std::string& id, std::uint32_t from, const std::string& customer,
      const std::shared_ptr<transport::Exchange>& exchange)>;

  /// Sets what is tried for answers that are not kept here.
  void SetResumeElsewhere(ResumeElsewhere resume) {
    this->resume_elsewhere = std::move(resume);
  }

  /// Serves one request. Precondition: the exchange has no answer yet.
  void Serve(const std::shared_ptr<transport::Exchange>& exchange);

  /// Returns whether requests can be served: a configuration is in force.
  bool Ready() const;

 private:
  using SharedExchange = std::shared_ptr<transport::Exchange>;

  /// Returns the customer whose key the request carries.
  std::optional<records::Customer> Authenticate(
      const transport::HttpRequest& request) const;
  bool ServeOpen(const SharedExchange& exchange);
  void ServeCompletion(const SharedExchange& exchange,
                       const records::Customer& customer,
                       CompletionShape shape);
  void ServeService(const SharedExchange& exchange,
                    const records::Customer& customer);
  void ServeResume(const SharedExchange& exchange,
                   const records::Customer& customer);
  void ServeModels(const SharedExchange& exchange);
  void Refuse(const SharedExchange& exchange, Refusal refusal);

  transport::EventLoop& loop;
  const settings::Settings& settings;
  const platform::ConfigService& config;
  AnswerSessions& sessions;
  ServiceRunner& services;
  EntryAdviceProvider& entries;
  Metrics& metrics;
  ResumeElsewhere resume_elsewhere;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_CALLER_API_H_
