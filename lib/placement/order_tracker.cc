#include "toucanwharf/placement/order_tracker.h"

namespace toucanwharf::placement {
namespace {

/// A report shows an engine's state of some hundred milliseconds ago, so one
/// that was asked for sooner after an order may still show the state before.
constexpr Duration kReportLag = std::chrono::milliseconds(400);

}  // namespace

void OrderTracker::OnReport(const std::string& engine,
                            const EngineReport& report, TimePoint asked) {
  Entry& entry = this->entries[engine];
  if (entry.sending || asked < entry.settled_after) return;
  entry.report = report;
  entry.known = true;
}

std::optional<PlaceOrder> OrderTracker::Next(const std::string& engine,
                                             TimePoint now) {
  const auto wanted_layers = this->wanted.find(engine);
  const auto found = this->entries.find(engine);
  if (wanted_layers == this->wanted.end() || found == this->entries.end()) {
    return std::nullopt;
  }
  Entry& entry = found->second;
  if (!entry.known || entry.sending || entry.report.busy) return std::nullopt;
  if (entry.report.layers == wanted_layers->second) return std::nullopt;
  entry.sending = true;
  entry.settled_after = now + kReportLag;
  return PlaceOrder{engine, wanted_layers->second, entry.report.sequence};
}

void OrderTracker::OnOutcome(const std::string& engine, OrderOutcome end,
                             TimePoint now) {
  const auto found = this->entries.find(engine);
  if (found == this->entries.end()) return;
  Entry& entry = found->second;
  entry.sending = false;
  entry.settled_after = now + kReportLag;
  entry.known = false;
  if (end == OrderOutcome::kAccepted) entry.report.busy = true;
}

bool OrderTracker::NeedsReport(const std::string& engine) const {
  const auto wanted_layers = this->wanted.find(engine);
  if (wanted_layers == this->wanted.end()) return false;
  const auto found = this->entries.find(engine);
  if (found == this->entries.end() || !found->second.known) return true;
  return found->second.report.busy ||
         found->second.report.layers != wanted_layers->second;
}

const EngineReport* OrderTracker::Report(const std::string& engine) const {
  const auto found = this->entries.find(engine);
  if (found == this->entries.end()) return nullptr;
  return &found->second.report;
}

}  // namespace toucanwharf::placement
