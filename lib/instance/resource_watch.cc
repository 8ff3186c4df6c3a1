#include "toucanwharf/instance/resource_watch.h"

#include <algorithm>
#include <cstdint>

namespace toucanwharf::instance {
namespace {

using eventlog::Fields;
using resources::ConnectionUse;

/// A peak below this part of the capacity is not logged.
constexpr std::size_t kFirstPeakDivisor = 16;
constexpr Duration kShortageLogPeriod = std::chrono::seconds(1);
/// Less than this is not worth the time to give it back.
constexpr std::size_t kMinReturnedBytes = 4UL * 1024 * 1024;
constexpr Duration kReturnPeriod = std::chrono::seconds(1);

/// Returns whether \p peak is worth a line after one at \p logged.
bool IsNewPeak(std::size_t peak, std::size_t capacity, std::size_t logged) {
  return peak >= std::max(capacity / kFirstPeakDivisor, 2 * logged);
}

std::int64_t CountOf(std::size_t value) {
  return static_cast<std::int64_t>(value);
}

}  // namespace

std::optional<Fields> ResourceWatch::NewPeak(const http::Resources& resources) {
  const std::size_t bytes = resources.buffers.Peak();
  const std::size_t connections = resources.descriptors.Peak();
  const std::size_t byte_capacity = resources.buffers.Capacity();
  const std::size_t capacity = resources.descriptors.Capacity();
  const bool more_bytes = IsNewPeak(bytes, byte_capacity, this->logged_bytes);
  const bool more_connections =
      IsNewPeak(connections, capacity, this->logged_connections);
  if (!more_bytes && !more_connections) return std::nullopt;
  if (more_bytes) this->logged_bytes = bytes;
  if (more_connections) this->logged_connections = connections;
  return Fields()
      .Count("buffered_bytes", CountOf(bytes))
      .Count("of_bytes", CountOf(byte_capacity))
      .Count("connections", CountOf(connections))
      .Count("of_connections", CountOf(capacity));
}

std::optional<Fields> ResourceWatch::Shortage(const http::Resources& resources,
                                              TimePoint now) {
  const http::ResourceCounters& counters = resources.counters;
  const bool silent = counters == this->logged ||
                      now - this->shortage_logged < kShortageLogPeriod;
  if (silent) return std::nullopt;
  const http::ResourceCounters before = this->logged;
  this->logged = counters;
  this->shortage_logged = now;
  const auto since = [](std::uint64_t all, std::uint64_t known) {
    return static_cast<std::int64_t>(all - known);
  };
  const resources::Descriptors& descriptors = resources.descriptors;
  return Fields()
      .Count("evicted_requests",
             since(counters.evicted_requests, before.evicted_requests))
      .Count("evicted_readers",
             since(counters.evicted_readers, before.evicted_readers))
      .Count("evicted_answers",
             since(counters.evicted_answers, before.evicted_answers))
      .Count("evicted_connections",
             since(counters.evicted_connections, before.evicted_connections))
      .Count("refused_connections",
             since(counters.refused_connections, before.refused_connections))
      .Count("refused_calls",
             since(counters.refused_calls, before.refused_calls))
      .Count("buffered_bytes", CountOf(resources.buffers.Used()))
      .Count("answer_bytes", CountOf(resources.answers.Used()))
      .Count("callers", CountOf(descriptors.Used(ConnectionUse::kCaller)))
      .Count("control", CountOf(descriptors.Used(ConnectionUse::kControl)))
      .Count("calls", CountOf(descriptors.Used(ConnectionUse::kCall)));
}

bool ResourceWatch::HasFreeMemory(std::size_t used_bytes, TimePoint now) {
  this->recent_peak = std::max(this->recent_peak, used_bytes);
  const bool much_less = this->recent_peak >= kMinReturnedBytes &&
                         used_bytes <= this->recent_peak / 2;
  if (!much_less || now - this->returned_at < kReturnPeriod) return false;
  this->recent_peak = used_bytes;
  this->returned_at = now;
  return true;
}

}  // namespace toucanwharf::instance
