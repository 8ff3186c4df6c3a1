#ifndef TOUCANWHARF_BENCH_DECISIONS_FLEET_H_
#define TOUCANWHARF_BENCH_DECISIONS_FLEET_H_

#include <cstdint>
#include <string>
#include <vector>

#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

/// \file
/// The fleet and the traffic of the benchmark, and the bound that the fleet
/// allows. A chain is two endpoints that together hold all layers; placement
/// has paired them, so that what is left to decide is the chain.
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
  /// One way, between the stages.
  double link_seconds = 0;
  /// Activations that the link carries, as tokens a second.
  double link_tokens_per_second = 0;
  std::uint32_t domain = 0;

  /// Returns the time between two tokens.
  double TokenSeconds() const;
  /// Returns the time of the prompt through both stages.
  double PrefillSeconds(double prompt_tokens) const;
  /// Returns requests that run at once at full speed: the least of both
  /// stages' slots and what the link carries.
  std::uint32_t Slots() const;
  /// Returns the KV memory of the stage that has less.
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
/// seconds, a hundredfold apart.
double LinkSeconds(std::uint32_t from, std::uint32_t to);

/// Returns the fleet of \p endpoints endpoints of four kinds.
/// Precondition: a multiple of 8.
std::vector<Chain> MakeFleet(std::uint32_t endpoints);

/// Traffic of \p customers customers; \p heavy of them sends `heavy_factor`
/// times the share of each other.
struct TrafficSettings {
  std::uint32_t customers = 10;
  double heavy_factor = 1;
  double requests_per_second = 1;
  double patience_seconds = 4;
  std::uint64_t seed = 1;
};

/// Draws jobs in the order of their arrival, Poisson.
class Traffic {
 public:
  explicit Traffic(const TrafficSettings& chosen);
  Job Next();
  /// Returns the part of all requests that \p customer sends.
  double ShareOf(std::uint32_t customer) const;

 private:
  TrafficSettings settings;
  Random random;
  double at_seconds = 0;
  std::uint64_t count = 0;
};

/// The most that the fleet can do, by maximum flow over stages, links between
/// stages and KV memory.
struct Bound {
  double requests_per_second = 0;
  double tokens_per_second = 0;
};

/// Computes the bound for the mix of requests in \p jobs. A policy that answers
/// mostly short requests gets more of them through; held against the bound of
/// the mix that it answered, that is no merit.
/// Precondition: \p jobs is not empty.
Bound ComputeBound(const std::vector<Chain>& fleet,
                   const std::vector<Job>& jobs);

/// Draws the mix that \p settings describes, a large sample of it.
std::vector<Job> SampleMix(const TrafficSettings& settings);

}  // namespace toucanwharf::bench

#endif  // TOUCANWHARF_BENCH_DECISIONS_FLEET_H_
