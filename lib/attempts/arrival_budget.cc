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
  ++this->Current(service, now).requests;
}

double ArrivalBudget::Share(TimePoint now) const {
  const double used = this->settings.used_share;
  if (now - this->started >= this->settings.window) return used;
  const auto lately = std::max<std::size_t>(this->sharers.started_lately, 1);
  const auto all = std::max(this->sharers.instances, lately);
  const double part = static_cast<double>(lately) / static_cast<double>(all);
  return std::min(used, this->settings.first_share / part);
}

double ArrivalBudget::Remaining(const std::string& service, TimePoint now) {
  this->Current(service, now);
  double requests = 0;
  double extras = 0;
  for (const Slice& slice : this->services[service]) {
    requests += static_cast<double>(slice.requests);
    extras += static_cast<double>(slice.extras);
  }
  const std::size_t instances = this->sharers.instances;
  const double slack =
      instances == 0 ? 0
                     : this->settings.slack / static_cast<double>(instances);
  const double most =
      this->Share(now) * (this->settings.ratio * requests + slack);
  return most - extras;
}

bool ArrivalBudget::HasExtra(const std::string& service, TimePoint now) {
  return this->Remaining(service, now) >= 1;
}

bool ArrivalBudget::TakeExtra(const std::string& service, TimePoint now) {
  if (!this->HasExtra(service, now)) return false;
  ++this->Current(service, now).extras;
  return true;
}

}  // namespace toucanwharf::attempts
