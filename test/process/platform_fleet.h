#ifndef TOUCANWHARF_TEST_PROCESS_PLATFORM_FLEET_H_
#define TOUCANWHARF_TEST_PROCESS_PLATFORM_FLEET_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standins/fleet/endpoints.h"
#include "standins/fleet/link_filter.h"
#include "standins/fleet/store.h"
#include "standins/relay/relay.h"
#include "test/process/fixture.h"

namespace toucanwharf::process_test {

/// A stream of events as received by its caller.
struct EventStream {
  Answer answer;
  /// Ids of the events, in order of arrival.
  std::vector<int> ids;
  /// Longest gap between two events.
  std::int64_t max_gap_ms = 0;
};

/// Bound on further arrivals at endpoints that the routers are told, for each
/// window of ten seconds.
struct ArrivalBound {
  double ratio = 0.2;
  double slack = 100;

  friend bool operator==(const ArrivalBound&, const ArrivalBound&) = default;
};

/// What a router's machine has, what callers may send, and how long a planned
/// stop may take. Zero leaves a field at its default.
struct MachineLimits {
  /// Memory of the process, in megabytes of 10^6 bytes.
  std::size_t memory_mb = 0;
  std::size_t max_descriptors = 0;
  /// Largest body of a request, in bytes.
  std::size_t max_body_bytes = 0;
  /// From the signal to stop to the kill, in seconds; 8 by default.
  int grace_seconds = 0;

  friend bool operator==(const MachineLimits&, const MachineLimits&) = default;
};

/// The addresses that a router listens on for calls.
enum class Listener { kCallers, kReady, kControl, kDirectory };

/// Routers as real processes on the stand-in of the users' platform: a model
/// of 12 layers on ten engines in two failure domains, and a plain service
/// with two endpoints. Each router has its own loopback addresses and its own
/// address of the store, so that its access to the store can fail separately.
/// Thread safety: one thread, except that Stream and Plain may be called
/// concurrently.
class PlatformFleet {
 public:
  static constexpr std::uint32_t kLayers = 12;
  static constexpr const char* kHost = "calls.example";
  static constexpr const char* kKey = "key-of-the-first-customer";
  static constexpr const char* kOtherKey = "key-of-the-second-customer";

  /// Starts the platform and \p count routers, and waits until all are ready
  /// and serve answers. Throws std::runtime_error if they don't become ready.
  /// Two seconds after its revocation, a key runs nothing.
  /// With \p second_model there is another model, "/other/...", on five
  /// engines of its own.
  /// With \p store_links each router reaches the store through a relay.
  explicit PlatformFleet(std::size_t count, bool second_model = false,
                         bool store_links = false,
                         const ArrivalBound& arrivals = {},
                         const MachineLimits& machine = {});
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  /// Runs \p act on the platform's thread and waits until it has returned.
  void RunOnLoop(const std::function<void()>& act);
  standins::fleet::Store& Store() { return *this->store; }
  standins::fleet::Endpoints& Endpoints() { return *this->endpoints; }
  /// Returns the relay between router \p index and the store.
  standins::Relay& StoreLink(std::size_t index) {
    return *this->store_relays.at(index);
  }

  /// Writes the next version of the configuration, with a customer for each of
  /// \p keys.
  void Configure(const std::vector<std::string>& keys);
  /// Writes the next version of the configuration, with the same keys, another
  /// route and other limits.
  void Reconfigure();
  /// Return the ids of the engines of the first model, and of the endpoints of
  /// the plain service.
  static std::vector<std::string> EngineIds();
  static std::vector<std::string> PlainIds();
  /// Makes the store unavailable to all for \p away, after which it returns
  /// from its last copy.
  void ReturnStore(std::chrono::milliseconds away);
  void StartRouter(std::size_t index);
  /// Cuts the links from router \p index to the endpoints \p ids, or to all if
  /// there are none.
  void CutLinks(std::size_t index, standins::fleet::LinkFault how,
                const std::vector<std::string>& ids = {});
  void HealLinks(std::size_t index);
  Process& Router(std::size_t index) { return *this->routers.at(index); }
  /// Returns the path of the log file that all runs of router \p index append
  /// to.
  std::string LogOf(std::size_t index) const;

  /// Calls the plain service through router \p index. \p path selects the
  /// route: "/read/..." may be retried, "/sign/..." must not be, "/open/..."
  /// needs no key. A "/sign/..." without a \p body gets one with the id.
  Answer Plain(std::size_t index, const std::string& path,
               const std::string& id, const std::string& key = kKey,
               const std::string& body = "");
  /// Streams an answer of the model through router \p index. The caller
  /// disconnects after \p disconnect_after events, or never if that is 0. The
  /// prompt has the \p parts, each as ID:TOKENS, if there are any.
  EventStream Stream(std::size_t index, const std::string& id,
                     const std::string& path = "/chat/one",
                     std::size_t disconnect_after = 0,
                     const std::string& body = "a prompt",
                     const std::string& parts = "");
  /// Returns whether router \p index reports that it is ready.
  bool Ready(std::size_t index);
  std::string Metrics(std::size_t index);
  /// Returns the caller addresses in the advice of router \p index.
  std::vector<std::string> Advice(std::size_t index);
  std::string CallersAddress(std::size_t index) const;
  std::string AddressOf(std::size_t index, Listener listener) const;

  /// Waits at most \p millis until \p holds returns true; returns whether it
  /// did.
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

  /// Stops the routers and the platform's thread.
  void Shutdown();
  std::string RouterIp(std::size_t index) const;
  std::string WriteSettings(std::size_t index) const;
  void AddEndpoints();

  bool has_second_model;
  ArrivalBound arrival_bound;
  MachineLimits machine_limits;
  Ports ports;
  std::string directory;
  std::unique_ptr<http::Loop> loop;
  std::unique_ptr<standins::fleet::Store> store;
  std::unique_ptr<standins::fleet::Endpoints> endpoints;
  std::unique_ptr<standins::fleet::LinkFilter> links;
  /// Address at which each router reaches the store.
  std::vector<std::string> store_addresses;
  /// Never destroyed, since their detached threads outlive the fleet.
  std::vector<standins::Relay*> store_relays;
  std::vector<std::unique_ptr<Process>> routers;
  std::uint64_t version = 0;
  std::vector<std::string> configured_keys;
  std::thread thread;
};

}  // namespace toucanwharf::process_test

#endif  // TOUCANWHARF_TEST_PROCESS_PLATFORM_FLEET_H_
