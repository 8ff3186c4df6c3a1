#include "toucanwharf/attempts/arrival_budget.h"

#include <algorithm>

namespace toucanwharf::attempts {
namespace {

/// Slices of a window; a slice too many is counted, so that the bound holds
/// for every position of the window.
constexpr int kSlices = 20;

}  // namespace

ArrivalBudget::Slice& ArrivalBudget::Current(const std::string& service,
                                             TimePoint now) {
  Slices& slices = this->services[service];
  const Duration length = this->settings.window / kSlices;
  while (!slices.empty() &&
         now - slices.front().begun > this->settings.window + length) {
    slices.pop_front();
  }
  if (slices.empty() || now - slices.back().begun >= length) {
    slices.push_back(Slice{now, 0, 0});
  }
  return slices.back();
}

void ArrivalBudget::OnRequest(const std::string& service, TimePoint now) {
  if (!this->started) this->started = now;
  ++this->Current(service, now).requests;
}

double ArrivalBudget::Share(TimePoint now) const {
  const Duration age = now - this->started.value_or(now);
  const double grown = static_cast<double>(age.count()) /
                       static_cast<double>(this->settings.window.count());
  return std::clamp(this->settings.used_share * grown,
                    this->settings.first_share, this->settings.used_share);
}

double ArrivalBudget::Left(const std::string& service, TimePoint now) {
  this->Current(service, now);
  double requests = 0;
  double extras = 0;
  for (const Slice& slice : this->services[service]) {
    requests += static_cast<double>(slice.requests);
    extras += static_cast<double>(slice.extras);
  }
  const double slack =
      this->settings.slack / static_cast<double>(this->instances);
  const double most =
      this->Share(now) * (this->settings.ratio * requests + slack);
  return most - extras;
}

bool ArrivalBudget::HasExtra(const std::string& service, TimePoint now) {
  return this->Left(service, now) >= 1;
}

bool ArrivalBudget::TakeExtra(const std::string& service, TimePoint now) {
  if (!this->HasExtra(service, now)) return false;
  ++this->Current(service, now).extras;
  return true;
}

}  // namespace toucanwharf::attempts
