#ifndef TOUCANWHARF_ROUTING_ENDPOINT_CHOICE_H_
#define TOUCANWHARF_ROUTING_ENDPOINT_CHOICE_H_

#include <concepts>
#include <optional>
#include <span>

#include "toucanwharf/routing/endpoints.h"
#include "toucanwharf/routing/load_view.h"
#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

/// \file
/// Chooses the endpoint of a request: of a few drawn at random, the one with
/// the earliest expected finish.
///
/// Load: several routers decide concurrently on the same lagging reports. If
/// each takes the best of all endpoints, all take the same one (herding): it
/// queues while its neighbours idle, until the next report moves the herd. A
/// random draw makes routers compare different endpoints, and the comparison
/// still avoids busy and slow ones.
namespace toucanwharf::routing {

/// Estimates the time until \p work is finished on \p endpoint; the planner of
/// layer covers has the same interface.
template <typename T>
concept EndpointScore = requires(const T& score, Endpoint endpoint,
                                 const Work& work) {
  { score.ExpectedFinish(endpoint, work) } -> std::same_as<Duration>;
};

static_assert(EndpointScore<LoadView>);

/// An endpoint that holds part of the prompt in its cache.
struct CachedPrefix {
  Endpoint endpoint{};
  double tokens = 0;

  friend bool operator==(const CachedPrefix&, const CachedPrefix&) = default;
};

/// Endpoints drawn per choice. Two draws give most of the gain over one; each
/// more brings routers closer to all taking the same best one. The third is for
/// kinds of different speed: docs/design/load.md.
inline constexpr std::size_t kDefaultDraws = 3;

/// An endpoint with a cached prefix is considered only up to this multiple of
/// the load of the endpoint that would be taken otherwise. Without a bound one
/// popular prompt directs all its requests to one endpoint. A quarter more is
/// the usual bound of hashing with bounded loads: caches stay useful and no
/// endpoint gets far above the mean.
inline constexpr double kAffinityLoadBound = 1.25;

/// The policy in use. The naive policies that tests and the benchmark compare
/// it with have the same interface.
/// Thread safety: none; for one thread.
class BestOfDraws {
 public:
  /// Precondition: \p count > 0.
  explicit BestOfDraws(std::size_t count = kDefaultDraws) : draws(count) {}

  /// Returns the endpoint for \p work among \p candidates, or nothing if there
  /// are none. \p cached may be nothing.
  std::optional<Endpoint> Choose(std::span<const Endpoint> candidates,
                                 const Work& work,
                                 std::optional<CachedPrefix> cached,
                                 const LoadView& loads, Random& random) const;

 private:
  std::size_t draws;
};

}  // namespace toucanwharf::routing

#endif  // TOUCANWHARF_ROUTING_ENDPOINT_CHOICE_H_
