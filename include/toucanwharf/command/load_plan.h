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
  /// Share of the calls, relative to the other customers.
  double share = 1.0;

  friend bool operator==(const LoadCustomer&, const LoadCustomer&) = default;
};

/// A deployment's mix of work.
struct LoadProfile {
  std::string name;
  std::string model;
  std::string service;
  /// Path of the non-idempotent call; a number is put in place of "%d".
  std::string path;
  std::vector<LoadCustomer> customers;
  std::vector<std::string> prompts;
  /// Part of the calls that go to the service, 0 to 1.
  double service_part = 0.1;
  /// Lengths of answers in tokens, drawn evenly from this list.
  std::vector<std::uint32_t> lengths;

  friend bool operator==(const LoadProfile&, const LoadProfile&) = default;
};

/// Returns the profile "atlas" or "rangi", or nothing. Thread safety: safe.
std::optional<LoadProfile> FindProfile(std::string_view name);

/// One call of the load, at a time that does not depend on earlier answers.
struct Arrival {
  Duration at{0};
  std::size_t customer = 0;
  bool to_service = false;
  std::string prompt;
  std::string path;
  std::uint32_t max_tokens = 0;
  std::uint64_t seed = 0;

  friend bool operator==(const Arrival&, const Arrival&) = default;
};

/// Open-loop arrivals: exponential pauses at a mean rate, the same for a seed
/// on every machine.
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
