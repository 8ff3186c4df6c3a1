#include "toucanwharf/instance/endpoint_list_log.h"

#include <string_view>
#include <utility>

namespace toucanwharf::instance {
namespace {

std::string_view NameOf(ListCause cause) {
  switch (cause) {
    case ListCause::kStore:
      return "store";
    case ListCause::kPeer:
      return "peer";
    case ListCause::kGraceOver:
      return "grace_over";
  }
  return "unknown";
}

}  // namespace

void EndpointListLog::OnList(const endpoints::EndpointTable& table,
                             ListCause cause, bool changed,
                             std::int64_t unreadable, TimePoint now) {
  const std::size_t retained = table.RetainedCount();
  const bool same_count =
      std::exchange(this->retained_before, retained) == retained;
  if (!changed && same_count) return;
  this->logger.Write(
      eventlog::Level::kNotable, "endpoints_changed",
      eventlog::Fields()
          .Text("cause", NameOf(cause))
          .Count("revision", static_cast<std::int64_t>(table.Revision().number))
          .Count("epoch", static_cast<std::int64_t>(table.Revision().epoch))
          .Count("endpoints", static_cast<std::int64_t>(table.All().size()))
          .Count("kept", static_cast<std::int64_t>(retained))
          .Count("corrected", static_cast<std::int64_t>(table.CorrectedCount()))
          .Count("unreadable", unreadable),
      now);
}

}  // namespace toucanwharf::instance
