#ifndef TOUCANWHARF_BENCH_DECISIONS_FLEET_H_
#define TOUCANWHARF_BENCH_DECISIONS_FLEET_H_

#include <cstdint>
#include <string>
#include <vector>

#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

/// \file
/// The simulated fleet, its traffic and the upper bound of its throughput. A
/// chain is a pair of endpoints that together hold all layers. The pairs are
/// fixed, so a router decides only which chain to use.
namespace toucanwharf::bench {

/// One endpoint: a stage that holds half of the layers.
struct Stage {
  std::uint32_t slots = 0;
  double token_seconds = 0;
  double prefill_tokens_per_second = 0;
  double kv_tokens = 0;
};

/// Two stages and the link between them.
struct Chain {
  Stage first;
  Stage second;
  /// One-way delay between the stages.
  double link_seconds = 0;
  /// Activation throughput of the link, in tokens per second.
  double link_tokens_per_second = 0;
  std::uint32_t domain = 0;

  /// Returns the time between two tokens.
  double TokenSeconds() const;
  /// Returns the time to process the prompt in both stages.
  double PrefillSeconds(double prompt_tokens) const;
  /// Returns how many requests run concurrently at full speed: the minimum of
  /// both stages' slots and of the link's throughput.
  std::uint32_t Slots() const;
  /// Returns the smaller KV memory of the two stages.
  double KvTokens() const;
};

/// One request as its caller sends it.
struct Job {
  std::uint64_t id = 0;
  std::uint32_t customer = 0;
  double prompt_tokens = 0;
  double output_tokens = 0;
  TimePoint arrived;
  TimePoint deadline;
};

constexpr std::uint32_t kDomains = 3;

/// Returns the one-way delay between two failure domains and within one, in
/// seconds. The largest delay is 100 times the smallest.
double LinkSeconds(std::uint32_t from, std::uint32_t to);

/// Returns a fleet of \p endpoints endpoints of four kinds.
/// Precondition: \p endpoints is a multiple of 8.
std::vector<Chain> MakeFleet(std::uint32_t endpoints);

/// Traffic of `customers` customers. Customer 0 sends `heavy_factor` times as
/// much as each of the others.
struct TrafficSettings {
  std::uint32_t customers = 10;
  double heavy_factor = 1;
  double requests_per_second = 1;
  double timeout_seconds = 4;
  std::uint64_t seed = 1;
};

/// Generates jobs of a Poisson process, in the order of arrival.
class Traffic {
 public:
  explicit Traffic(const TrafficSettings& chosen);
  Job Next();
  /// Returns the fraction of all requests that \p customer sends.
  double ShareOf(std::uint32_t customer) const;

 private:
  TrafficSettings settings;
  Random random;
  double arrival_seconds = 0;
  std::uint64_t count = 0;
};

/// Upper bound of the fleet's throughput: the maximum flow through stages,
/// links between stages and KV memory.
struct Bound {
  double requests_per_second = 0;
  double tokens_per_second = 0;
};

/// Computes the bound for the mix of requests in \p jobs. A policy that prefers
/// short requests completes more of them; comparing it with the bound of the
/// mix that it answered removes this advantage.
/// Precondition: \p jobs is not empty.
Bound ComputeBound(const std::vector<Chain>& fleet,
                   const std::vector<Job>& jobs);

/// Returns a large sample of the traffic that \p settings describes.
std::vector<Job> SampleMix(const TrafficSettings& settings);

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_DECISIONS_FLEET_H_
