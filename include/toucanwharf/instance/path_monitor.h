#ifndef TOUCANWHARF_INSTANCE_PATH_MONITOR_H_
#define TOUCANWHARF_INSTANCE_PATH_MONITOR_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/http/loop.h"
#include "toucanwharf/instance/instance_state.h"

namespace toucanwharf::instance {

/// Checks this instance's own paths to endpoints when connections fail, and
/// tells when it becomes isolated from all of them. Owned by Gateway.
/// Thread safety: only on the loop's thread.
class PathMonitor {
 public:
  /// \p report_request is what an engine answers without running anything.
  /// Precondition: all references outlive the monitor.
  PathMonitor(http::Loop& event_loop, http::Client& http_client,
              InstanceState& shared_state, eventlog::Logger& log,
              http::Request report_request);

  /// Calls \p task when the other instances should hear of a change: this
  /// instance became isolated or no longer is (true), or its findings are no
  /// longer in doubt (false).
  void OnChange(std::function<void(bool)> task) {
    this->changed = std::move(task);
  }

  /// Records that \p endpoint answered on a new connection, begun at
  /// \p connected_at.
  void OnAnswered(const std::string& endpoint, TimePoint connected_at);
  /// Records that a new connection to \p endpoint failed for \p reason.
  void OnFailure(const std::string& endpoint, endpoints::ConnectionFailure kind,
                 std::string_view reason);
  /// Records that \p endpoint sent something on any connection.
  void OnData(const std::string& endpoint);
  /// Makes the check that is due, if any.
  void Poll();

 private:
  struct Status {
    bool isolated = false;
    bool in_doubt = false;

    friend bool operator==(const Status&, const Status&) = default;
  };

  /// Returns the engines: a check of another endpoint would be a request.
  std::vector<std::string> Checkable() const;
  void Check(const endpoints::Endpoint& endpoint);
  void OnChecked(const std::string& endpoint, TimePoint started,
                 const http::CallResult& result);
  void ApplyStatus();

  http::Loop& loop;
  http::Client& client;
  InstanceState& state;
  eventlog::Logger& logger;
  http::Request request;
  std::function<void(bool)> changed;
  Status status;
  Random random;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_PATH_MONITOR_H_
