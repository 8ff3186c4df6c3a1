#include "record_status.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_join.h"
#include "toucanwharf/support/json.h"

namespace toucanwharf::command {
namespace {

using nlohmann::json;

std::vector<std::string> ListMember(const json& object, const char* name) {
  std::vector<std::string> texts;
  const auto found = object.find(name);
  if (found == object.end() || !found->is_array()) return texts;
  for (const json& item : *found) {
    if (item.is_string()) texts.push_back(item.get<std::string>());
  }
  return texts;
}

}  // namespace

RecordStatus ParseRecordStatus(std::string_view value) {
  const json document = json::parse(value, nullptr, false);
  RecordStatus status;
  if (!document.is_object()) return status;
  status.state = TextMember(document, "state");
  status.record_version = CountMemberOrZero(document, "record_version");
  status.generation = CountMemberOrZero(document, "generation");
  status.behind = ListMember(document, "behind");
  status.reasons = ListMember(document, "reasons");
  const auto in_force = document.find("in_force");
  if (in_force == document.end() || !in_force->is_object()) return status;
  status.routers_in_force = CountMemberOrZero(*in_force, "on");
  status.live_routers = CountMemberOrZero(*in_force, "of");
  return status;
}

std::string ToText(const RecordStatus& status) {
  std::string text = status.state.empty() ? "no status yet" : status.state;
  text += ", record version " + std::to_string(status.record_version);
  if (status.state == "accepted") {
    text += ", generation " + std::to_string(status.generation) +
            ", in force on " + std::to_string(status.routers_in_force) +
            " of " + std::to_string(status.live_routers);
  }
  if (!status.behind.empty()) {
    text += "; behind: " + absl::StrJoin(status.behind, ", ");
  }
  if (!status.reasons.empty()) {
    text += "; " + absl::StrJoin(status.reasons, "; ");
  }
  return text;
}

bool InForceEverywhere(const RecordStatus& status, std::uint64_t version) {
  const bool accepted =
      status.state == "accepted" && status.record_version >= version;
  return accepted && status.live_routers > 0 &&
         status.routers_in_force == status.live_routers;
}

bool IsRejected(const RecordStatus& status, std::uint64_t version) {
  return status.state == "rejected" && status.record_version >= version;
}

}  // namespace toucanwharf::command
