#include "toucanwharf/support/json.h"

namespace toucanwharf {

std::string TextMember(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string()) return "";
  return found->get<std::string>();
}

std::optional<std::uint64_t> CountMember(const nlohmann::json& object,
                                         const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

std::uint64_t CountMemberOrZero(const nlohmann::json& object,
                                const char* name) {
  return CountMember(object, name).value_or(0);
}

}  // namespace toucanwharf
