#ifndef TOUCANWHARF_DAEMON_SERVICE_RUNNER_H_
#define TOUCANWHARF_DAEMON_SERVICE_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "toucanwharf/daemon/directory.h"
#include "toucanwharf/daemon/metrics.h"
#include "toucanwharf/daemon/refusal.h"
#include "toucanwharf/platform/idempotency_journal.h"
#include "toucanwharf/records/records.h"
#include "toucanwharf/support/random.h"
#include "toucanwharf/transport/http_client.h"

namespace toucanwharf::daemon {

/// One call of a plain service, as received from its caller.
struct ServiceJob {
  std::string request_id;
  std::string customer;
  records::Service service;
  std::string method;
  /// Path below the service, escaped, with a leading slash and the query.
  std::string target;
  std::string content_type;
  /// Identifies repeats of the call; never empty for a non-idempotent call.
  std::string idempotency_key;
  bool idempotent = false;
  std::string body;

  friend bool operator==(const ServiceJob&, const ServiceJob&) = default;
};

/// Response of the service itself.
struct ServiceAnswer {
  int status = 0;
  std::string content_type;
  std::string body;

  friend bool operator==(const ServiceAnswer&, const ServiceAnswer&) = default;
};

using ServiceResult = std::variant<ServiceAnswer, Refusal>;

/// Returns whether the record of \p service marks a call as repeatable. A call
/// that matches no entry of the record is not.
/// Thread safety: safe.
bool IsIdempotent(const records::Service& service, const std::string& method,
                  const std::string& path);

/// Sends calls of plain services to their endpoints.
///
/// An idempotent call is attempted at up to three endpoints. A non-idempotent
/// one is retried only if it is certain that no byte of it was sent, or the
/// endpoint reported that it did not run (I3, I4). If the caller supplied a
/// key, the call is claimed in the journal before its first byte is sent, so
/// that a repeat through any router doesn't run again and gets the first
/// answer.
/// Thread safety: none; for the loop's thread.
class ServiceRunner {
 public:
  using Done = std::function<void(ServiceResult)>;

  /// Precondition: all references outlive the runner.
  ServiceRunner(transport::HttpClient& client, Directory& directory,
                platform::IdempotencyJournal& journal, Metrics& metrics,
                std::uint64_t seed);

  /// Starts a call; \p done is called once.
  void Start(ServiceJob job, Done done);

  /// Returns the number of calls in progress.
  std::size_t Running() const { return this->calls.size(); }

  /// Ends all calls, as the process ends: each is refused, as not run if no
  /// endpoint can have run it.
  void EndAll();

 private:
  struct Call;

  /// Returns the refusal of \p call, which the end of the process breaks off.
  static Refusal BrokenOff(const Call& call);
  void ClaimKey(const std::shared_ptr<Call>& call);
  void OnVerdict(const std::shared_ptr<Call>& call, once::Verdict verdict);
  void RecordOutcome(const Call& call, const ServiceResult& result);
  void StartAttempt(const std::shared_ptr<Call>& call);
  void OnOutcome(const std::shared_ptr<Call>& call,
                 const transport::HttpOutcome& outcome);
  void Finish(const std::shared_ptr<Call>& call, ServiceResult result);

  transport::HttpClient& client;
  Directory& directory;
  platform::IdempotencyJournal& journal;
  Metrics& metrics;
  Random random;
  std::set<std::shared_ptr<Call>> calls;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_SERVICE_RUNNER_H_
