#ifndef TOUCANWHARF_INSTANCE_GATEWAY_H_
#define TOUCANWHARF_INSTANCE_GATEWAY_H_

#include <cstdint>
#include <memory>
#include <string>

#include "toucanwharf/attempts/arrival_budget.h"
#include "toucanwharf/eventlog/logger.h"
#include "toucanwharf/http/client.h"
#include "toucanwharf/http/server.h"
#include "toucanwharf/instance/beliefs.h"
#include "toucanwharf/instance/settings.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::instance {

/// Counts of what became of requests.
struct GatewayCounters {
  std::uint64_t received = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t broken_off = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t left_by_caller = 0;
  std::uint64_t tried_again = 0;
  std::uint64_t resumed = 0;
  std::uint64_t stalls = 0;

  friend bool operator==(const GatewayCounters&,
                         const GatewayCounters&) = default;
};

/// Passes callers' requests on to endpoints and their answers back.
/// Thread safety: only on the loop's thread.
class Gateway {
 public:
  /// Precondition: all references outlive the gateway.
  Gateway(http::Loop& event_loop, http::Client& http_client,
          Beliefs& shared_beliefs, eventlog::Logger& log,
          const InstanceSettings& chosen, HeaderNames header_names);

  /// Takes a request; its answer may come much later.
  void Handle(std::shared_ptr<http::Exchange> exchange);
  /// Sets how many instances share the budget of extra arrivals.
  void SetInstances(std::size_t count) { this->budget.SetInstances(count); }
  /// Returns how many requests are under way.
  std::size_t UnderWay() const { return this->under_way; }
  const GatewayCounters& Counters() const { return this->counters; }

 private:
  friend class Passage;

  void Refuse(http::Exchange& exchange, int status, Duration retry_after,
              std::string_view reason);
  bool TooLateToTake(TimePoint now) const;

  http::Loop& loop;
  http::Client& client;
  Beliefs& beliefs;
  eventlog::Logger& logger;
  InstanceSettings settings;
  HeaderNames names;
  attempts::ArrivalBudget budget;
  Random random;
  std::size_t under_way = 0;
  GatewayCounters counters;
};

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_GATEWAY_H_
