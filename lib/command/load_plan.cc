#include "toucanwharf/command/load_plan.h"

#include <cassert>
#include <cmath>
#include <utility>

#include "absl/strings/str_replace.h"

namespace toucanwharf::command {
namespace {

constexpr double kMicrosPerSecond = 1e6;
// Two customers of ten make most of the calls in both deployments.
constexpr double kLargeShare = 6.0;

LoadCustomer Make(const std::string& name, double share) {
  return LoadCustomer{name, "demo-key-" + name, share};
}

LoadProfile Atlas() {
  LoadProfile profile;
  profile.name = "atlas";
  profile.model = "qa-model";
  profile.service = "lot-records";
  profile.path = "/lots/%d/sign";
  profile.customers = {Make("berrechid-release", kLargeShare),
                       Make("agadir-distribution", kLargeShare),
                       Make("kohl-line", 1), Make("argan-serums", 1)};
  profile.prompts = {"Summarise the deviations of the cream lot",
                     "Draft the release note of the kohl lot",
                     "Compare the batch with its master formula"};
  profile.service_part = 0.1;
  profile.lengths = {16, 32, 64, 128};
  return profile;
}

LoadProfile Rangi() {
  LoadProfile profile;
  profile.name = "rangi";
  profile.model = "brush-model";
  profile.service = "rounds-app";
  profile.path = "/jobs/%d/done";
  profile.customers = {Make("nyarugenge-crew", kLargeShare),
                       Make("gasabo-crew", kLargeShare),
                       Make("kicukiro-crew", 1), Make("district-office", 1)};
  profile.prompts = {"Summarise the condition of the cabinet at the corner",
                     "Plan paint and surface for the next round",
                     "Write the job notes for the district office"};
  profile.service_part = 0.2;
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

ArrivalSource::ArrivalSource(LoadProfile mix, double calls_per_second,
                             std::uint64_t seed)
    : profile(std::move(mix)), rate(calls_per_second), random(seed) {
  assert(this->rate > 0 && "a load has a rate");
  assert(!this->profile.customers.empty() && "a load has customers");
}

std::size_t ArrivalSource::PickCustomer() {
  double total = 0;
  for (const LoadCustomer& customer : this->profile.customers) {
    total += customer.share;
  }
  double left = this->random.Unit() * total;
  for (std::size_t at = 0; at < this->profile.customers.size(); ++at) {
    left -= this->profile.customers[at].share;
    if (left < 0) return at;
  }
  return this->profile.customers.size() - 1;
}

Arrival ArrivalSource::Next() {
  const double pause = -std::log(1.0 - this->random.Unit()) / this->rate;
  this->now += Duration(static_cast<std::int64_t>(pause * kMicrosPerSecond));
  ++this->count;
  Arrival arrival;
  arrival.at = this->now;
  arrival.customer = this->PickCustomer();
  arrival.to_service = this->random.Unit() < this->profile.service_part;
  arrival.prompt = PickOne(this->profile.prompts, this->random) + " " +
                   std::to_string(this->count);
  arrival.path = absl::StrReplaceAll(this->profile.path,
                                     {{"%d", std::to_string(this->count)}});
  arrival.max_tokens = PickOne(this->profile.lengths, this->random);
  arrival.seed = this->random() >> 1;
  return arrival;
}

}  // namespace toucanwharf::command
