#include "toucanwharf/attempts/arrival_budget.h"

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

bool ArrivalBudget::TakeExtra(const std::string& service, TimePoint now) {
  Slice& current = this->Current(service, now);
  double requests = 0;
  double extras = 0;
  for (const Slice& slice : this->services[service]) {
    requests += static_cast<double>(slice.requests);
    extras += static_cast<double>(slice.extras);
  }
  const double slack =
      this->settings.slack / static_cast<double>(this->instances);
  const double most =
      this->settings.used_share * (this->settings.ratio * requests + slack);
  if (extras + 1 > most) return false;
  ++current.extras;
  return true;
}

}  // namespace toucanwharf::attempts
