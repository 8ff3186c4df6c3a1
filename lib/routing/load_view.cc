#include "toucanwharf/routing/load_view.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace toucanwharf::routing {
namespace {

/// Weight of the newest observation. A tenth: one request that met a stall
/// moves the estimate by little, ten in a row by two thirds.
constexpr double kSmoothing = 0.1;

/// Bounds of the estimated slowdown. The lower keeps a run of short answers
/// from making an endpoint look faster than its specification by more than
/// half; the upper keeps a stalled endpoint reachable once it recovers.
constexpr double kMinSlowdown = 0.5;
constexpr double kMaxSlowdown = 50.0;

double Seconds(Duration length) {
  return std::chrono::duration<double>(length).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

void LoadView::Add(Endpoint endpoint, const EndpointSpec& spec) {
  if (IndexOf(endpoint) >= this->entries.size()) {
    this->entries.resize(IndexOf(endpoint) + 1);
  }
  this->At(endpoint).spec = spec;
}

void LoadView::Report(Endpoint endpoint, const LoadReport& report) {
  Entry& entry = this->At(endpoint);
  if (entry.reported && report.as_of <= entry.report.as_of) return;
  entry.report = report;
  entry.reported = true;
  while (!entry.unreported.empty() &&
         entry.unreported.front().time <= report.as_of) {
    const Change& seen = entry.unreported.front();
    entry.unreported_requests -= seen.requests;
    entry.unreported_tokens -= seen.tokens;
    entry.unreported_kv_tokens -= seen.kv_tokens;
    entry.unreported.pop_front();
  }
}

void LoadView::Started(TimePoint now, Endpoint endpoint, const Work& work) {
  Entry& entry = this->At(endpoint);
  ++entry.in_flight;
  const double kv = work.KvTokens();
  entry.kv_in_flight += kv;
  if (entry.mean_tokens == 0) entry.mean_tokens = work.Tokens();
  entry.mean_tokens += kSmoothing * (work.Tokens() - entry.mean_tokens);
  // The request reaches the endpoint a link delay later; a report made before
  // that can't include it.
  RecordChange(entry, Change{now + entry.spec.link, 1, work.Tokens(), kv});
}

void LoadView::Finished(TimePoint now, Endpoint endpoint, const Work& work) {
  Entry& entry = this->At(endpoint);
  assert(entry.in_flight > 0 && "no work in flight");
  --entry.in_flight;
  const double kv = work.KvTokens();
  entry.kv_in_flight -= kv;
  RecordChange(entry, Change{now, -1, -work.Tokens(), -kv});
}

void LoadView::Observed(Endpoint endpoint, Duration expected, Duration actual) {
  assert(expected.count() > 0 && "expected time is not positive");
  Entry& entry = this->At(endpoint);
  const double ratio =
      std::clamp(Seconds(actual) / Seconds(expected), 0.1, kMaxSlowdown);
  entry.slowdown += kSmoothing * (ratio * entry.slowdown - entry.slowdown);
  entry.slowdown = std::clamp(entry.slowdown, kMinSlowdown, kMaxSlowdown);
}

Duration LoadView::ExpectedFinish(Endpoint endpoint, const Work& work) const {
  return this->ExpectedWait(endpoint, work) + this->ServiceTime(endpoint, work);
}

Duration LoadView::ServiceTime(Endpoint endpoint, const Work& work) const {
  const Entry& entry = this->At(endpoint);
  const double prefill = (work.prompt_tokens - work.cached_tokens) /
                         entry.spec.prefill_tokens_per_second;
  const double decode = work.output_tokens * Seconds(entry.spec.token_gap);
  const double link = 2 * Seconds(entry.spec.link);
  const double service = (prefill + decode) * entry.slowdown;
  return FromSeconds(service + link);
}

Duration LoadView::ExpectedWait(Endpoint endpoint, const Work& work) const {
  const Entry& entry = this->At(endpoint);
  const double kv = work.KvTokens();
  const bool has_kv = !entry.reported || this->KvFree(endpoint) >= kv;
  if (has_kv && this->Occupied(endpoint) < entry.spec.slots) return Duration{0};
  const double speed = entry.spec.slots / Seconds(entry.spec.token_gap);
  const double queued = std::max(
      entry.report.queued_tokens + std::max(entry.unreported_tokens, 0.0),
      entry.mean_tokens);
  return FromSeconds(queued / speed * entry.slowdown);
}

double LoadView::Occupied(Endpoint endpoint) const {
  const Entry& entry = this->At(endpoint);
  const double seen = entry.report.running + this->QueuedAtReport(endpoint);
  // This router's work in flight is certain, whatever a report says.
  return std::max(seen + entry.unreported_requests,
                  static_cast<double>(entry.in_flight));
}

double LoadView::Occupancy(Endpoint endpoint) const {
  const double slots = std::max(this->At(endpoint).spec.slots, 1U);
  return this->Occupied(endpoint) / slots;
}

double LoadView::KvFree(Endpoint endpoint) const {
  const Entry& entry = this->At(endpoint);
  return entry.report.kv_tokens_free - entry.unreported_kv_tokens;
}

std::uint32_t LoadView::InFlight(Endpoint endpoint) const {
  return this->At(endpoint).in_flight;
}

std::uint32_t LoadView::InFlightAtReport(Endpoint endpoint) const {
  const Entry& entry = this->At(endpoint);
  const int seen =
      static_cast<int>(entry.in_flight) - entry.unreported_requests;
  return static_cast<std::uint32_t>(std::max(seen, 0));
}

double LoadView::QueuedAtReport(Endpoint endpoint) const {
  const Entry& entry = this->At(endpoint);
  if (entry.report.queued_tokens <= 0) return 0;
  const double size =
      entry.mean_tokens > 0 ? entry.mean_tokens : entry.report.queued_tokens;
  return entry.report.queued_tokens / size;
}

double LoadView::KvInFlightAtReport(Endpoint endpoint) const {
  const Entry& entry = this->At(endpoint);
  return std::max(entry.kv_in_flight - entry.unreported_kv_tokens, 0.0);
}

const LoadReport& LoadView::LastReport(Endpoint endpoint) const {
  return this->At(endpoint).report;
}

const EndpointSpec& LoadView::SpecOf(Endpoint endpoint) const {
  return this->At(endpoint).spec;
}

void LoadView::RecordChange(Entry& entry, const Change& change) {
  entry.unreported.push_back(change);
  entry.unreported_requests += change.requests;
  entry.unreported_tokens += change.tokens;
  entry.unreported_kv_tokens += change.kv_tokens;
}

const LoadView::Entry& LoadView::At(Endpoint endpoint) const {
  assert(IndexOf(endpoint) < this->entries.size() && "endpoint is unknown");
  return this->entries[IndexOf(endpoint)];
}

LoadView::Entry& LoadView::At(Endpoint endpoint) {
  assert(IndexOf(endpoint) < this->entries.size() && "endpoint is unknown");
  return this->entries[IndexOf(endpoint)];
}

}  // namespace toucanwharf::routing
