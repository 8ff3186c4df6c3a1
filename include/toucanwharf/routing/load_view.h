#ifndef TOUCANWHARF_ROUTING_LOAD_VIEW_H_
#define TOUCANWHARF_ROUTING_LOAD_VIEW_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "toucanwharf/routing/endpoints.h"
#include "toucanwharf/support/clock.h"

/// \file
/// What one router believes about the load of each endpoint: the endpoint's
/// last report, corrected by the router's own work since that report.
///
/// Pattern of load: reports lag by a few hundred milliseconds, in which a
/// router places dozens of requests. Without the correction every request
/// between two reports goes to the endpoint that looked idle, its queue grows
/// far past its share, and the next report moves the whole stream elsewhere.
namespace toucanwharf::routing {

/// What is known of an endpoint before it reports any load.
struct EndpointSpec {
  /// Sequences that the endpoint runs at once at full speed.
  std::uint32_t slots = 1;
  /// Time between two tokens of one sequence on the endpoint.
  Duration token_gap{20000};
  double prefill_tokens_per_second = 10000;
  /// One-way delay of the link from this router.
  Duration link{500};

  friend bool operator==(const EndpointSpec&, const EndpointSpec&) = default;
};

/// An endpoint's own statement of its load, true at `as_of`.
struct LoadReport {
  std::uint32_t running = 0;
  double queued_tokens = 0;
  double kv_tokens_free = 0;
  /// On the reader's time scale: time of arrival less the report's age.
  TimePoint as_of;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// Size of one request in tokens, as far as it is known or expected.
struct Work {
  double prompt_tokens = 0;
  double output_tokens = 0;
  /// Part of the prompt whose KV cache the endpoint holds already.
  double cached_tokens = 0;

  /// Returns all tokens that the endpoint still has to process.
  double Tokens() const {
    return this->prompt_tokens - this->cached_tokens + this->output_tokens;
  }
  /// Returns the KV memory that the request takes in the end, in tokens.
  double KvTokens() const { return this->prompt_tokens + this->output_tokens; }
  friend bool operator==(const Work&, const Work&) = default;
};

/// Load of all endpoints as one router sees it.
/// Thread safety: none; for one thread.
class LoadView {
 public:
  /// Learns of \p endpoint or changes what is known of it.
  void Add(Endpoint endpoint, const EndpointSpec& spec);

  /// Takes in a report. One that is older than the last is ignored: reports
  /// reach a router on several ways and overtake each other.
  void Report(Endpoint endpoint, const LoadReport& report);

  /// Notes that this router handed \p work to \p endpoint.
  void Started(TimePoint now, Endpoint endpoint, const Work& work);

  /// Notes the end of work handed over before, with the same \p work.
  void Finished(TimePoint now, Endpoint endpoint, const Work& work);

  /// Notes that a request took \p actual on \p endpoint where the view had
  /// expected \p expected. A slow endpoint may report a healthy load, as its
  /// queue is short because everything before it is late; only what callers
  /// get shows it.
  /// Precondition: expected > 0.
  void Observed(Endpoint endpoint, Duration expected, Duration actual);

  /// Returns the time until \p work would be finished on \p endpoint: work
  /// queued / speed + prefill that isn't cached + link + tokens.
  Duration ExpectedFinish(Endpoint endpoint, const Work& work) const;

  /// Returns the time of \p work on \p endpoint once it has a slot, link
  /// included.
  Duration ServiceTime(Endpoint endpoint, const Work& work) const;

  /// Returns the time that \p work would wait for a slot and for KV memory of
  /// \p endpoint.
  Duration ExpectedWait(Endpoint endpoint, const Work& work) const;

  /// Returns sequences believed to be on the endpoint, waiting ones included.
  double Occupied(Endpoint endpoint) const;

  /// Returns Occupied() as a share of the slots.
  double Occupancy(Endpoint endpoint) const;

  /// Returns free KV tokens: reported, less this router's work since.
  double KvFree(Endpoint endpoint) const;

  /// Returns this router's requests on \p endpoint now.
  std::uint32_t InFlight(Endpoint endpoint) const;

  /// Returns this router's requests on \p endpoint when it last reported.
  std::uint32_t InFlightAtReport(Endpoint endpoint) const;

  /// Returns requests (not tokens) that the endpoint reported as waiting.
  double QueuedAtReport(Endpoint endpoint) const;

  /// Returns the KV tokens of InFlightAtReport().
  double KvInFlightAtReport(Endpoint endpoint) const;

  /// Returns the last report of \p endpoint.
  const LoadReport& LastReport(Endpoint endpoint) const;

  /// Returns what Add() was told. Precondition: \p endpoint was added.
  const EndpointSpec& SpecOf(Endpoint endpoint) const;

 private:
  /// Own change of load that the last report may not show yet.
  struct Change {
    TimePoint at;
    int requests = 0;
    double tokens = 0;
    double kv_tokens = 0;
  };
  struct Entry {
    EndpointSpec spec;
    LoadReport report;
    bool reported = false;
    std::deque<Change> unseen;
    int unseen_requests = 0;
    double unseen_tokens = 0;
    double unseen_kv_tokens = 0;
    std::uint32_t in_flight = 0;
    double slowdown = 1.0;
    double mean_tokens = 0;
    double kv_in_flight = 0;
  };

  static void Note(Entry& entry, const Change& change);
  const Entry& At(Endpoint endpoint) const;
  Entry& At(Endpoint endpoint);

  std::vector<Entry> entries;
};

}  // namespace toucanwharf::routing

#endif  // TOUCANWHARF_ROUTING_LOAD_VIEW_H_
