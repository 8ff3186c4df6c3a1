#ifndef TOUCANWHARF_SUPPORT_JSON_H_
#define TOUCANWHARF_SUPPORT_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

/// Access to members of untrusted JSON, which may have any type.
namespace toucanwharf {

/// Returns the string member \p name of \p object; empty if it is absent or of
/// another type, or \p object is no object.
/// Thread safety: safe.
std::string TextMember(const nlohmann::json& object, const char* name);

/// Returns the integer member \p name of \p object; nothing if it is absent,
/// negative or of another type, or \p object is no object.
/// Thread safety: safe.
std::optional<std::uint64_t> CountMember(const nlohmann::json& object,
                                         const char* name);

/// Returns CountMember, or 0 if it has no value. Thread safety: safe.
std::uint64_t CountMemberOrZero(const nlohmann::json& object, const char* name);

}  // namespace toucanwharf

#endif  // TOUCANWHARF_SUPPORT_JSON_H_
