#include "fleet.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace toucanwharf::bench {
namespace {

/// Four kinds of accelerator, fastest first. The fastest has less KV memory
/// than its slots could use.
constexpr std::array<Stage, 4> kKinds{{{32, 0.008, 16000, 15000},
                                       {24, 0.012, 10000, 24000},
                                       {16, 0.016, 8000, 16000},
                                       {8, 0.020, 6000, 8000}}};

/// Links between stages: within a rack, within a hall, within a site, and a
/// slow one whose capacity limits its chain.
struct Link {
  double seconds = 0;
  double tokens_per_second = 0;
};
constexpr std::array<Link, 4> kLinks{
    {{0.00005, 100000}, {0.0005, 10000}, {0.002, 2000}, {0.005, 260}}};

/// Kinds and link of each of the four chains that eight endpoints form.
struct Pairing {
  std::size_t first = 0;
  std::size_t second = 0;
  std::size_t link = 0;
};
constexpr std::array<Pairing, 4> kPairings{
    {{0, 0, 0}, {1, 1, 1}, {2, 2, 2}, {3, 2, 3}}};

constexpr double kShortFraction = 0.7;
constexpr double kShortMeanTokens = 60;
constexpr double kLongMeanTokens = 260;
constexpr double kMinOutputTokens = 8;
constexpr double kMaxOutputTokens = 1024;

double Exponential(Random& random, double mean) {
  return -mean * std::log(std::max(random.Unit(), 1e-12));
}

}  // namespace

double Chain::TokenSeconds() const {
  return this->first.token_seconds + this->second.token_seconds +
         2 * this->link_seconds;
}

double Chain::PrefillSeconds(double prompt_tokens) const {
  return prompt_tokens / this->first.prefill_tokens_per_second +
         prompt_tokens / this->second.prefill_tokens_per_second +
         this->link_seconds;
}

std::uint32_t Chain::Slots() const {
  const double link = this->link_tokens_per_second * this->TokenSeconds();
  const auto by_link = static_cast<std::uint32_t>(std::floor(link));
  return std::min({this->first.slots, this->second.slots, by_link});
}

double Chain::KvTokens() const {
  return std::min(this->first.kv_tokens, this->second.kv_tokens);
}

double LinkSeconds(std::uint32_t from, std::uint32_t to) {
  constexpr std::array<double, kDomains> kDelays{0.00005, 0.0005, 0.005};
  const std::uint32_t distance = (to + kDomains - from) % kDomains;
  return kDelays[distance];
}

std::vector<Chain> MakeFleet(std::uint32_t endpoints) {
  std::vector<Chain> fleet;
  for (std::uint32_t index = 0; index < endpoints / 2; ++index) {
    const Pairing& pairing = kPairings[index % kPairings.size()];
    const Link& link = kLinks[pairing.link];
    fleet.push_back(Chain{kKinds[pairing.first], kKinds[pairing.second],
                          link.seconds, link.tokens_per_second,
                          index % kDomains});
  }
  return fleet;
}

Traffic::Traffic(const TrafficSettings& chosen)
    : settings(chosen), random(chosen.seed) {}

Job Traffic::Next() {
  this->arrival_seconds +=
      Exponential(this->random, 1 / this->settings.requests_per_second);
  Job job;
  job.id = this->count++;
  const double shares =
      this->settings.customers - 1 + this->settings.heavy_factor;
  const double draw = this->random.Unit() * shares;
  // Customer 0 is the heavy customer.
  const double others = std::max(draw - this->settings.heavy_factor, -1.0);
  job.customer = others < 0 ? 0 : 1 + static_cast<std::uint32_t>(others);
  job.customer = std::min(job.customer, this->settings.customers - 1);
  job.prompt_tokens = 50 + this->random.Unit() * 600;
  const bool is_short = this->random.Unit() < kShortFraction;
  const double length =
      Exponential(this->random, is_short ? kShortMeanTokens : kLongMeanTokens);
  job.output_tokens =
      std::floor(std::clamp(length, kMinOutputTokens, kMaxOutputTokens));
  job.arrived = TimePoint{
      Duration{static_cast<std::int64_t>(this->arrival_seconds * 1e6)}};
  job.deadline =
      job.arrived +
      Duration{static_cast<std::int64_t>(this->settings.timeout_seconds * 1e6)};
  return job;
}

double Traffic::ShareOf(std::uint32_t customer) const {
  const double shares =
      this->settings.customers - 1 + this->settings.heavy_factor;
  return (customer == 0 ? this->settings.heavy_factor : 1) / shares;
}

}  // namespace toucanwharf::bench
