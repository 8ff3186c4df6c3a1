#ifndef TOUCANWHARF_TEST_PROCESS_PLATFORM_FLEET_H_
#define TOUCANWHARF_TEST_PROCESS_PLATFORM_FLEET_H_

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standins/fleet/endpoints.h"
#include "standins/fleet/store.h"
#include "standins/relay/relay.h"
#include "test/process/fixture.h"

namespace toucanwharf::process_test {

/// What a caller read of a stream of events.
struct EventStream {
  Answer answer;
  /// Ids of the events, in the order in which they came.
  std::vector<int> ids;
  /// Longest time between two events.
  std::int64_t longest_pause_ms = 0;
};

/// Routers as real processes on the stand-in of the users' platform: a model
/// of 12 layers on ten engines in two failure domains, and a plain service
/// with two endpoints. Each router has loopback addresses and an address of
/// the store of its own, so that its way there can fail alone.
/// Thread safety: one thread, but Stream and Plain may run in several.
class PlatformFleet {
 public:
  static constexpr std::uint32_t kLayers = 12;
  static constexpr const char* kKey = "key-of-the-first-customer";
  static constexpr const char* kOtherKey = "key-of-the-second-customer";

  /// Starts the platform and \p count routers, and waits until all are ready
  /// and answers can be had. Revoked keys run nothing after two seconds.
  /// With \p second_model there is another model, "/other/...", on five
  /// engines of its own.
  /// With \p store_links each router reaches the store through a relay.
  explicit PlatformFleet(std::size_t count, bool second_model = false,
                         bool store_links = false);
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  /// Runs \p act on the platform's thread and waits for its end.
  void On(const std::function<void()>& act);
  standins::fleet::Store& Store() { return *this->store; }
  standins::fleet::Endpoints& Endpoints() { return *this->endpoints; }
  /// Returns the relay between router \p index and the store.
  standins::Relay& StoreLink(std::size_t index) {
    return *this->store_relays.at(index);
  }

  /// Writes the next version of the configuration, with these keys.
  void Configure(const std::vector<std::string>& keys);
  void StartRouter(std::size_t index);
  Process& Router(std::size_t index) { return *this->routers.at(index); }
  /// Returns the file with all that the starts of router \p index have written.
  std::string LogOf(std::size_t index) const;

  /// Calls the plain service through router \p index; \p path names the route:
  /// "/read/..." may be repeated, "/sign/..." must not, "/open/..." needs no
  /// key.
  Answer Plain(std::size_t index, const std::string& path,
               const std::string& id, const std::string& key = kKey);
  /// Asks the model through router \p index; the caller leaves after the event
  /// number \p leave_after, or never for 0.
  EventStream Stream(std::size_t index, const std::string& id,
                     const std::string& path = "/chat/one",
                     std::size_t leave_after = 0);
  /// Returns whether router \p index says that it is ready.
  bool Ready(std::size_t index);
  /// Returns the metrics of router \p index.
  std::string Metrics(std::size_t index);
  /// Returns the addresses that router \p index advises.
  std::vector<std::string> Advice(std::size_t index);
  std::string CallersAddress(std::size_t index) const;

  /// Waits until \p holds, for at most \p millis; returns whether it did.
  static bool Eventually(const std::function<bool()>& holds, int millis = 8000);
  /// Returns the runs of the request \p id.
  std::vector<standins::fleet::Run> RunsOf(const std::string& id);

 private:
  struct Ports {
    int callers = 0;
    int ready = 0;
    int control = 0;
    int directory = 0;
    int datagrams = 0;
    int service = 0;
  };

  /// Ends the routers and the platform's thread.
  void Shut();
  std::string RouterIp(std::size_t index) const;
  std::string WriteSettings(std::size_t index) const;
  void AddEndpoints();

  bool has_second_model;
  Ports ports;
  std::string folder;
  std::unique_ptr<http::Loop> loop;
  std::unique_ptr<standins::fleet::Store> store;
  std::unique_ptr<standins::fleet::Endpoints> endpoints;
  /// Where each router finds the store.
  std::vector<std::string> store_addresses;
  /// Their threads outlive the fleet, so these are never destroyed.
  std::vector<standins::Relay*> store_relays;
  std::vector<std::unique_ptr<Process>> routers;
  std::uint64_t version = 0;
  std::thread thread;
};

}  // namespace toucanwharf::process_test

#endif  // TOUCANWHARF_TEST_PROCESS_PLATFORM_FLEET_H_
