#include "toucanwharf/placement/order_tracker.h"

namespace toucanwharf::placement {
namespace {

/// Age of the state in a report. A report that is requested sooner after an
/// order may still show the state before it.
constexpr Duration kReportLag = std::chrono::milliseconds(400);

}  // namespace

void OrderTracker::OnReport(const std::string& engine,
                            const EngineReport& report, TimePoint requested) {
  Entry& entry = this->entries[engine];
  if (entry.sending || requested < entry.reports_valid_from) return;
  entry.report = report;
  entry.known = true;
}

std::optional<PlaceOrder> OrderTracker::Next(const std::string& engine,
                                             TimePoint now) {
  const auto target_layers = this->target.find(engine);
  const auto found = this->entries.find(engine);
  if (target_layers == this->target.end() || found == this->entries.end()) {
    return std::nullopt;
  }
  Entry& entry = found->second;
  if (!entry.known || entry.sending || entry.report.busy) return std::nullopt;
  if (entry.report.layers == target_layers->second) return std::nullopt;
  entry.sending = true;
  entry.reports_valid_from = now + kReportLag;
  return PlaceOrder{engine, target_layers->second, entry.report.sequence};
}

void OrderTracker::OnOutcome(const std::string& engine, OrderOutcome outcome,
                             TimePoint now) {
  const auto found = this->entries.find(engine);
  if (found == this->entries.end()) return;
  Entry& entry = found->second;
  entry.sending = false;
  entry.reports_valid_from = now + kReportLag;
  entry.known = false;
  if (outcome == OrderOutcome::kAccepted) entry.report.busy = true;
}

bool OrderTracker::NeedsReport(const std::string& engine) const {
  const auto target_layers = this->target.find(engine);
  if (target_layers == this->target.end()) return false;
  const auto found = this->entries.find(engine);
  if (found == this->entries.end() || !found->second.known) return true;
  return found->second.report.busy ||
         found->second.report.layers != target_layers->second;
}

const EngineReport* OrderTracker::Report(const std::string& engine) const {
  const auto found = this->entries.find(engine);
  if (found == this->entries.end()) return nullptr;
  return &found->second.report;
}

}  // namespace toucanwharf::placement
