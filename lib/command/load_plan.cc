#include "toucanwharf/command/load_plan.h"

#include <cassert>
#include <cmath>
#include <utility>

#include "absl/strings/str_replace.h"

namespace toucanwharf::command {
namespace {

constexpr double kMicrosPerSecond = 1e6;
// In both deployments two customers of ten make most of the calls.
constexpr double kLargeShare = 6.0;

LoadCustomer MakeCustomer(const std::string& name, double share) {
  return LoadCustomer{name, "demo-key-" + name, share};
}

LoadProfile Atlas() {
  LoadProfile profile;
  profile.name = "atlas";
  profile.model = "qa-model";
  profile.service = "lot-records";
  profile.path = "/lots/%d/sign";
  profile.customers = {MakeCustomer("berrechid-release", kLargeShare),
                       MakeCustomer("agadir-distribution", kLargeShare),
                       MakeCustomer("kohl-line", 1),
                       MakeCustomer("argan-serums", 1)};
  profile.prompts = {"Summarise the deviations of the cream lot",
                     "Draft the release note of the kohl lot",
                     "Compare the batch with its master formula"};
  profile.service_fraction = 0.1;
  profile.lengths = {16, 32, 64, 128};
  return profile;
}

LoadProfile Rangi() {
  LoadProfile profile;
  profile.name = "rangi";
  profile.model = "brush-model";
  profile.service = "rounds-app";
  profile.path = "/jobs/%d/done";
  profile.customers = {MakeCustomer("nyarugenge-crew", kLargeShare),
                       MakeCustomer("gasabo-crew", kLargeShare),
                       MakeCustomer("kicukiro-crew", 1),
                       MakeCustomer("district-office", 1)};
  profile.prompts = {"Summarise the condition of the cabinet at the corner",
                     "Plan paint and surface for the next round",
                     "Write the job notes for the district office"};
  profile.service_fraction = 0.2;
  profile.lengths = {8, 16, 32, 96};
  return profile;
}

template <typename T>
const T& PickOne(const std::vector<T>& values, Random& random) {
  return values[random.Below(values.size())];
}

}  // namespace

std::optional<LoadProfile> FindProfile(std::string_view name) {
  if (name == "atlas") return Atlas();
  if (name == "rangi") return Rangi();
  return std::nullopt;
}

ArrivalSource::ArrivalSource(LoadProfile load_profile, double calls_per_second,
                             std::uint64_t seed)
    : profile(std::move(load_profile)), rate(calls_per_second), random(seed) {
  assert(this->rate > 0 && "the arrival rate must be positive");
  assert(!this->profile.customers.empty() && "the profile must have customers");
}

std::size_t ArrivalSource::PickCustomer() {
  double total = 0;
  for (const LoadCustomer& customer : this->profile.customers) {
    total += customer.share;
  }
  double remaining = this->random.Unit() * total;
  for (std::size_t index = 0; index < this->profile.customers.size(); ++index) {
    remaining -= this->profile.customers[index].share;
    if (remaining < 0) return index;
  }
  return this->profile.customers.size() - 1;
}

Arrival ArrivalSource::Next() {
  const double gap_s = -std::log(1.0 - this->random.Unit()) / this->rate;
  this->now += Duration(static_cast<std::int64_t>(gap_s * kMicrosPerSecond));
  ++this->count;
  Arrival arrival;
  arrival.offset = this->now;
  arrival.customer = this->PickCustomer();
  arrival.to_service = this->random.Unit() < this->profile.service_fraction;
  arrival.prompt = PickOne(this->profile.prompts, this->random) + " " +
                   std::to_string(this->count);
  arrival.path = absl::StrReplaceAll(this->profile.path,
                                     {{"%d", std::to_string(this->count)}});
  arrival.max_tokens = PickOne(this->profile.lengths, this->random);
  arrival.seed = this->random() >> 1;
  return arrival;
}

}  // namespace toucanwharf::command
