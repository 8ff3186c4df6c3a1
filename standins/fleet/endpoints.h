#ifndef TOUCANWHARF_STANDINS_FLEET_ENDPOINTS_H_
#define TOUCANWHARF_STANDINS_FLEET_ENDPOINTS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "standins/fleet/store.h"
#include "toucanwharf/http/loop.h"
#include "toucanwharf/http/server.h"
#include "toucanwharf/pipeline/plan.h"

namespace toucanwharf::standins::fleet {

/// One endpoint to start.
struct EndpointSpec {
  std::string id;
  std::string service;
  std::string address;
  std::string failure_domain;
  /// Kind of accelerator; empty for a plain service.
  std::string kind;
};

/// What an endpoint does wrong.
enum class EndpointFault {
  kNone,
  /// Takes connections and says nothing; what runs through it stands still.
  kDark,
  /// Refuses every request as not run.
  kFull,
  /// Runs the request and closes without an answer.
  kLosesAnswers,
  /// Runs the request and answers 500.
  kFails,
  /// Before the answer, sends one that belongs to another request.
  kSendsOthersAnswer,
  /// Breaks a stream off in the middle of an event.
  kBreaksEvent,
  /// Refuses a change of path.
  kRefusesRepath,
};

/// One run of a request at an endpoint.
struct Run {
  std::string endpoint;
  std::string request_id;
  std::string target;
  std::string body;
  std::string customer;
  http::Headers headers;
  /// First event that it sent, for a stream.
  int first_event = 0;
};

/// The endpoints of the fleet, on one loop.
/// Thread safety: only on the loop's thread.
class Endpoints {
 public:
  /// Events of each answer, and the time between two.
  static constexpr int kEvents = 20;
  static constexpr Duration kEventGap = std::chrono::milliseconds(20);

  /// Precondition: both outlive the object. Models have \p layer_count layers.
  Endpoints(http::Loop& event_loop, Store& registry, std::uint32_t layer_count);

  /// Starts an endpoint and registers it.
  void Add(const EndpointSpec& spec);
  void SetFault(const std::string& id, EndpointFault fault);
  /// Sets whether engines name a silent engine of their answers' paths in their
  /// reports.
  void NameStalls(bool named) { this->name_stalls = named; }
  /// Registers an endpoint as leaving; it goes on serving.
  void Drain(const std::string& id);
  /// Stops listening, and breaks every connection off.
  void Crash(const std::string& id);

  /// Returns the endpoint at \p address; empty if there is none.
  std::string IdAt(const std::string& address);

  const std::vector<Run>& Runs() const { return this->runs; }
  /// Returns what went against the promises: a path that isn't a cover, an
  /// order of too many layers, a request for another endpoint that was run.
  const std::vector<std::string>& Violations() const {
    return this->violations;
  }
  std::uint64_t Orders() const { return this->orders; }
  std::uint64_t Repaths() const { return this->repaths; }
  /// Returns how many streams run now.
  std::size_t Running() const { return this->streams.size(); }

 private:
  struct Part {
    std::string address;
    pipeline::LayerRange layers;
  };
  struct Endpoint {
    EndpointSpec spec;
    std::unique_ptr<http::Server> server;
    EndpointFault fault = EndpointFault::kNone;
    pipeline::LayerRange layers;
    std::uint64_t sequence = 0;
    std::string state = "ready";
    std::vector<std::shared_ptr<http::Exchange>> held;
  };
  struct Stream {
    std::string endpoint;
    std::string request_id;
    std::vector<Part> path;
    std::shared_ptr<http::Exchange> exchange;
    int next = 1;
  };

  void Register(const Endpoint& endpoint);
  void Handle(const std::string& id, std::shared_ptr<http::Exchange> exchange);
  void HandleOrder(Endpoint& endpoint, http::Exchange& exchange);
  void HandleReport(const Endpoint& endpoint, http::Exchange& exchange);
  void Serve(Endpoint& endpoint, std::shared_ptr<http::Exchange> exchange);
  void ServePlain(const Endpoint& endpoint, http::Exchange& exchange);
  void ServeStream(Endpoint& endpoint,
                   std::shared_ptr<http::Exchange> exchange);
  void Step(const std::shared_ptr<Stream>& stream);
  std::vector<Part> ParsePath(const std::string& text) const;
  Endpoint* AtAddress(const std::string& address);
  /// Returns the address of the part that keeps \p path from running.
  std::string Hindrance(const std::vector<Part>& path);
  void CheckCover(const std::vector<Part>& path);

  http::Loop& loop;
  Store& store;
  std::uint32_t layers;
  std::map<std::string, Endpoint> endpoints;
  std::set<std::shared_ptr<Stream>> streams;
  std::vector<Run> runs;
  std::vector<std::string> violations;
  std::uint64_t orders = 0;
  std::uint64_t repaths = 0;
  bool name_stalls = true;
};

}  // namespace toucanwharf::standins::fleet

#endif  // TOUCANWHARF_STANDINS_FLEET_ENDPOINTS_H_
