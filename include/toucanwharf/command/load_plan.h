#ifndef TOUCANWHARF_COMMAND_LOAD_PLAN_H_
#define TOUCANWHARF_COMMAND_LOAD_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::command {

/// One customer of a load profile.
struct LoadCustomer {
  std::string name;
  std::string key;
  /// Weight of its calls, relative to the other customers.
  double share = 1.0;

  friend bool operator==(const LoadCustomer&, const LoadCustomer&) = default;
};

/// The mix of model requests and service calls of a deployment.
struct LoadProfile {
  std::string name;
  std::string model;
  std::string service;
  /// Path of the non-idempotent call; "%d" is replaced by the call's number.
  std::string path;
  std::vector<LoadCustomer> customers;
  std::vector<std::string> prompts;
  /// Fraction of the calls that go to the service, 0 to 1.
  double service_fraction = 0.1;
  /// Answer lengths in tokens, drawn uniformly from this list.
  std::vector<std::uint32_t> lengths;

  friend bool operator==(const LoadProfile&, const LoadProfile&) = default;
};

/// Returns the profile "atlas" or "rangi"; nothing for another name.
/// Thread safety: safe.
std::optional<LoadProfile> FindProfile(std::string_view name);

/// One call of an open-loop load: its time does not depend on earlier answers.
struct Arrival {
  /// Time since the start of the load.
  Duration offset{0};
  std::size_t customer = 0;
  bool to_service = false;
  std::string prompt;
  std::string path;
  std::uint32_t max_tokens = 0;
  std::uint64_t seed = 0;

  friend bool operator==(const Arrival&, const Arrival&) = default;
};

/// Generates open-loop arrivals with exponential gaps at a mean rate; a seed
/// gives the same sequence on every machine.
/// Thread safety: none.
class ArrivalSource {
 public:
  /// Preconditions: \p rate > 0 calls a second; \p profile has customers,
  /// prompts and lengths.
  ArrivalSource(LoadProfile profile, double rate, std::uint64_t seed);

  /// Returns the next call.
  Arrival Next();

 private:
  std::size_t PickCustomer();

  LoadProfile profile;
  double rate;
  Random random;
  Duration now{0};
  std::uint64_t count = 0;
};

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_COMMAND_LOAD_PLAN_H_
