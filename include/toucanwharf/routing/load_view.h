#ifndef TOUCANWHARF_ROUTING_LOAD_VIEW_H_
#define TOUCANWHARF_ROUTING_LOAD_VIEW_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "toucanwharf/routing/endpoints.h"
#include "toucanwharf/support/clock.h"

/// \file
/// One router's estimate of the load of each endpoint: the endpoint's last
/// report, corrected by the router's own work since that report.
///
/// Load: reports lag by a few hundred milliseconds, in which a router places
/// dozens of requests. Without the correction every request between two reports
/// goes to the endpoint that looked idle, its queue grows far past its share,
/// and the next report moves all requests elsewhere.
namespace toucanwharf::routing {

/// Properties of an endpoint that are known before its first load report.
struct EndpointSpec {
  /// Sequences that the endpoint runs concurrently at full speed.
  std::uint32_t slots = 1;
  /// Time between two tokens of one sequence on the endpoint.
  Duration token_gap{20000};
  double prefill_tokens_per_second = 10000;
  /// One-way delay of the link from this router.
  Duration link{500};

  friend bool operator==(const EndpointSpec&, const EndpointSpec&) = default;
};

/// Load as reported by an endpoint, valid at `as_of`.
struct LoadReport {
  std::uint32_t running = 0;
  double queued_tokens = 0;
  double kv_tokens_free = 0;
  /// On the receiver's clock: time of arrival less the report's age.
  TimePoint as_of;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// Known or expected size of one request in tokens.
struct Work {
  double prompt_tokens = 0;
  double output_tokens = 0;
  /// Part of the prompt that the endpoint already holds in its KV cache.
  double cached_tokens = 0;

  /// Returns all tokens that the endpoint has yet to process.
  double Tokens() const {
    return this->prompt_tokens - this->cached_tokens + this->output_tokens;
  }
  /// Returns the KV memory of the complete request, in tokens.
  double KvTokens() const { return this->prompt_tokens + this->output_tokens; }
  friend bool operator==(const Work&, const Work&) = default;
};

/// Load of all endpoints as seen by one router.
/// Thread safety: none; for one thread.
class LoadView {
 public:
  /// Adds \p endpoint or changes its specification.
  void Add(Endpoint endpoint, const EndpointSpec& spec);

  /// Applies a report. One that is older than the last is ignored, as reports
  /// reach a router over several paths and may be reordered.
  void Report(Endpoint endpoint, const LoadReport& report);

  /// Records that this router sent \p work to \p endpoint.
  void Started(TimePoint now, Endpoint endpoint, const Work& work);

  /// Records the end of work that was started with the same \p work.
  void Finished(TimePoint now, Endpoint endpoint, const Work& work);

  /// Records that a request took \p actual on \p endpoint where \p expected was
  /// estimated. A slow endpoint may report a healthy load, since its queue is
  /// short if everything before it is late; only the times of answers show it.
  /// Precondition: expected > 0.
  void Observed(Endpoint endpoint, Duration expected, Duration actual);

  /// Returns the time until \p work would be finished on \p endpoint: work
  /// queued / speed + prefill that isn't cached + link + tokens.
  Duration ExpectedFinish(Endpoint endpoint, const Work& work) const;

  /// Returns the time of \p work on \p endpoint from the assignment of a slot,
  /// link delays included.
  Duration ServiceTime(Endpoint endpoint, const Work& work) const;

  /// Returns the time that \p work would wait for a slot and for KV memory of
  /// \p endpoint.
  Duration ExpectedWait(Endpoint endpoint, const Work& work) const;

  /// Returns the estimated sequences on the endpoint, queued ones included.
  double Occupied(Endpoint endpoint) const;

  /// Returns Occupied() as a share of the slots.
  double Occupancy(Endpoint endpoint) const;

  /// Returns free KV tokens: reported, less this router's work since.
  double KvFree(Endpoint endpoint) const;

  /// Returns this router's requests in flight on \p endpoint.
  std::uint32_t InFlight(Endpoint endpoint) const;

  /// Returns this router's requests on \p endpoint at its last report.
  std::uint32_t InFlightAtReport(Endpoint endpoint) const;

  /// Returns the requests (not tokens) that the endpoint reported as queued.
  double QueuedAtReport(Endpoint endpoint) const;

  /// Returns the KV tokens of InFlightAtReport().
  double KvInFlightAtReport(Endpoint endpoint) const;

  /// Returns the last report of \p endpoint.
  const LoadReport& LastReport(Endpoint endpoint) const;

  /// Returns the specification of \p endpoint. Precondition: it was added.
  const EndpointSpec& SpecOf(Endpoint endpoint) const;

 private:
  /// Change of load by this router that the last report may not include.
  struct Change {
    TimePoint time;
    int requests = 0;
    double tokens = 0;
    double kv_tokens = 0;
  };
  struct Entry {
    EndpointSpec spec;
    LoadReport report;
    bool reported = false;
    std::deque<Change> unreported;
    int unreported_requests = 0;
    double unreported_tokens = 0;
    double unreported_kv_tokens = 0;
    std::uint32_t in_flight = 0;
    double slowdown = 1.0;
    double mean_tokens = 0;
    double kv_in_flight = 0;
  };

  static void RecordChange(Entry& entry, const Change& change);
  const Entry& At(Endpoint endpoint) const;
  Entry& At(Endpoint endpoint);

  std::vector<Entry> entries;
};

}  // namespace toucanwharf::routing

#endif  // TOUCANWHARF_ROUTING_LOAD_VIEW_H_
