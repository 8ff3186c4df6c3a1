#ifndef TOUCANWHARF_INSTANCE_ENGINE_PROBE_H_
#define TOUCANWHARF_INSTANCE_ENGINE_PROBE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/http/client.h"
#include "toucanwharf/http/loop.h"
#include "toucanwharf/instance/adapter.h"

namespace toucanwharf::instance {

/// Result of a liveness probe.
struct ProbeAnswer {
  /// False if the engine is unresponsive.
  bool alive = false;
  /// Whether a connection was refused: no process listens at the address.
  bool refused = false;
  /// The engine's report, if it could be parsed.
  std::optional<EndpointReport> report;

  friend bool operator==(const ProbeAnswer&, const ProbeAnswer&) = default;
};

/// Requests engines' reports and determines within some tens of milliseconds
/// which engines are unresponsive; stalled answers wait for the result.
/// Thread safety: only on the loop's thread.
class EngineProbe {
 public:
  using OnAnswer = std::function<void(const ProbeAnswer&)>;
  using ToReport =
      std::function<std::optional<EndpointReport>(const std::string&)>;

  /// Precondition: \p event_loop and \p http_client outlive the probe.
  EngineProbe(http::Loop& event_loop, http::Client& http_client,
              http::Request report_request, ToReport decode);

  /// Probes the engine at \p address, unless it has answered since \p since.
  /// Concurrent calls for one address share a probe. \p probers is how many
  /// instances may probe an engine at the same moment: each new connection
  /// costs the engine time, and one that has to accept many is not
  /// unresponsive. \p done is called once, asynchronously.
  void Check(const std::string& address, TimePoint since, std::size_t probers,
             OnAnswer done);

 private:
  struct PendingProbe {
    std::string address;
    TimePoint started;
    std::vector<OnAnswer> waiting;
    int in_flight = 0;
    Duration repeat_after{0};
    Duration unresponsive_after{0};
    bool repeated = false;
    /// A call ended in a way that only a live engine causes.
    bool liveness_seen = false;
    bool refused = false;
    http::TimerId repeat_timer = 0;
  };
  struct Recent {
    TimePoint time;
    ProbeAnswer answer;
  };

  void Begin(const std::shared_ptr<PendingProbe>& pending);
  void Send(const std::shared_ptr<PendingProbe>& pending, Duration timeout,
            http::Reuse reuse);
  void SendRepeat(const std::shared_ptr<PendingProbe>& pending);
  void OnCallDone(const std::shared_ptr<PendingProbe>& pending, bool timed_out,
                  const http::CallResult& result,
                  const http::ResponseHead& head, const std::string& body);
  void Complete(const std::shared_ptr<PendingProbe>& pending,
                const ProbeAnswer& answer);

  http::Loop& loop;
  http::Client& client;
  http::Request request;
  ToReport to_report;
  std::map<std::string, std::shared_ptr<PendingProbe>> probes;
  /// The last result for each address.
  std::map<std::string, Recent> recent;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_ENGINE_PROBE_H_
