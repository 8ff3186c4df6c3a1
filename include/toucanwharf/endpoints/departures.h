#ifndef TOUCANWHARF_ENDPOINTS_DEPARTURES_H_
#define TOUCANWHARF_ENDPOINTS_DEPARTURES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "toucanwharf/endpoints/endpoint.h"
#include "toucanwharf/support/clock.h"

namespace toucanwharf::endpoints {

using EndpointsById = std::map<std::string, Endpoint>;

/// What is known of endpoints and kept against an older copy of the store.
///
/// Failure guarded against: the store returns from a copy that lists endpoints
/// as ready which have drained or gone since, and they get new work (I5); or
/// that lists layers which engines no longer hold. In the first time of an
/// epoch what was known before it counts. After that the store's list counts:
/// an endpoint that lives has registered again, and the entry of one that has
/// gone has expired.
///
/// Thread safety: none; for one thread.
class Departures {
 public:
  /// \p hold is how long the entry of an endpoint that has gone may be listed
  /// after the store's return.
  explicit Departures(Duration hold) : hold_time(hold) {}

  /// Records that the store has returned, as first seen at \p returned, or that
  /// it has answered again after an outage.
  void OnReturn(TimePoint returned) {
    this->hold_until = std::max(this->hold_until, returned + this->hold_time);
  }
  /// Learns which endpoints drain or have gone: \p next, a list of \p epoch,
  /// replaces \p before. Those in \p retained may be back.
  void Learn(const EndpointsById& before, const EndpointsById& next,
             const std::set<std::string>& retained, std::uint64_t epoch,
             TimePoint now);
  /// Replaces in \p listed, a list of \p epoch, what is older than what is
  /// known from earlier epochs; \p in_use are the endpoints in use. Returns the
  /// number of entries changed.
  std::size_t Correct(EndpointsById& listed, const EndpointsById& in_use,
                      std::uint64_t epoch, TimePoint now) const;
  /// Returns whether \p endpoint was removed from a list.
  bool IsGone(const Endpoint& endpoint) const;
  /// Returns whether earlier knowledge counts at \p now.
  bool Holds(TimePoint now) const { return now < this->hold_until; }

 private:
  /// One start of an endpoint.
  struct Start {
    std::string id;
    std::uint64_t time_ms = 0;

    // clang-tidy 14 takes the zero inside a defaulted <=> for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Start&, const Start&) = default;
  };
  struct Departure {
    bool gone = false;
    /// Epoch of the list that told.
    std::uint64_t epoch = 0;
    TimePoint learned_at;
  };

  void Forget(const EndpointsById& listed, TimePoint now);

  Duration hold_time;
  TimePoint hold_until;
  std::map<Start, Departure> departures;
};

}  // namespace toucanwharf::endpoints

#endif  // TOUCANWHARF_ENDPOINTS_DEPARTURES_H_
