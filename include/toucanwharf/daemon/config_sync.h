#ifndef TOUCANWHARF_DAEMON_CONFIG_SYNC_H_
#define TOUCANWHARF_DAEMON_CONFIG_SYNC_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "toucanwharf/daemon/metrics.h"
#include "toucanwharf/records/records.h"
#include "toucanwharf/transport/event_loop.h"
#include "toucanwharf/transport/http_client.h"

namespace toucanwharf::daemon {

/// Reads the records and keeps the catalog in force.
/// Thread safety: none; for the loop's thread.
class ConfigSync {
 public:
  /// Precondition: all references outlive the object.
  ConfigSync(transport::EventLoop& loop, transport::HttpClient& client,
             Metrics& metrics, std::string platform_address);

  /// Begins to ask the platform, again and again. Precondition: called once.
  void Start();

  /// Returns the catalog in force; generation 0 and empty before the first.
  const records::Catalog& Catalog() const { return this->catalog; }

 private:
  void Ask();
  void Take(std::string_view body);

  transport::EventLoop& loop;
  transport::HttpClient& client;
  Metrics& metrics;
  std::string platform_address;
  records::Catalog catalog;
};

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_CONFIG_SYNC_H_
