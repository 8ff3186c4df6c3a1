#include "toucanwharf/attempts/arrival_budget.h"

#include <algorithm>
#include <iterator>

namespace toucanwharf::attempts {
namespace {

/// Slices of a window. One slice more than a window is counted, so that the
/// bound holds for every position of the window.
constexpr int kSlices = 20;

}  // namespace

ArrivalBudget::Slice& ArrivalBudget::Current(const std::string& service,
                                             TimePoint now) {
  Slices& slices = this->services[service];
  const Duration length = this->settings.window / kSlices;
  while (!slices.empty() &&
         now - slices.front().start > this->settings.window + length) {
    slices.pop_front();
  }
  if (slices.empty() || now - slices.back().start >= length) {
    slices.push_back(Slice{now, 0, 0});
  }
  return slices.back();
}

void ArrivalBudget::OnRequest(const std::string& service, TimePoint now) {
  ++this->Current(service, now).requests;
}

double ArrivalBudget::UsableShare(TimePoint now) const {
  const double used = this->settings.used_share;
  if (now - this->started >= this->settings.window) return used;
  const auto recent = std::max<std::size_t>(this->sharers.recently_started, 1);
  const auto all = std::max(this->sharers.instances, recent);
  const double part = static_cast<double>(recent) / static_cast<double>(all);
  return std::min(used, this->settings.startup_share / part);
}

BudgetUse ArrivalBudget::Use(const std::string& service, TimePoint now) {
  this->Current(service, now);
  BudgetUse use;
  for (const Slice& slice : this->services[service]) {
    use.requests += static_cast<double>(slice.requests);
    use.extras += static_cast<double>(slice.extras);
  }
  const std::size_t instances = this->sharers.instances;
  const double slack =
      instances == 0 ? 0
                     : this->settings.slack / static_cast<double>(instances);
  use.allowed =
      this->UsableShare(now) * (this->settings.ratio * use.requests + slack);
  return use;
}

double ArrivalBudget::Remaining(const std::string& service, TimePoint now) {
  const BudgetUse use = this->Use(service, now);
  return use.allowed - use.extras;
}

bool ArrivalBudget::HasExtra(const std::string& service, TimePoint now) {
  return this->Remaining(service, now) >= 1;
}

bool ArrivalBudget::TakeExtra(const std::string& service, TimePoint now) {
  if (!this->HasExtra(service, now)) return false;
  ++this->Current(service, now).extras;
  return true;
}

void ArrivalBudget::OnRead(const std::string& service, TimePoint sent,
                           TimePoint now) {
  ++this->Current(service, now).extras;
  Slices& slices = this->services[service];
  const auto later =
      std::find_if(slices.begin(), slices.end(),
                   [sent](const Slice& slice) { return slice.start > sent; });
  if (later == slices.begin()) return;
  Slice& counted = *std::prev(later);
  if (counted.extras > 0) --counted.extras;
}

}  // namespace toucanwharf::attempts
