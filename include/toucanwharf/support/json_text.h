#ifndef TOUCANWHARF_SUPPORT_JSON_TEXT_H_
#define TOUCANWHARF_SUPPORT_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <vector>

/// Reading of JSON text from outside, which may hold anything.
///
/// Failure guarded against: a text with values of several writers is read as
/// one, and one value that can't be read hides the others, or nests so deeply
/// that a recursive reader overflows the stack.
namespace toucanwharf {

/// Levels of nesting that ParseJson allows.
constexpr int kMaxJsonLevels = 64;

/// Returns whether ParseJson reads \p text. Thread safety: safe.
bool IsReadableJson(std::string_view text);

/// Returns the value in \p text, discarded if it isn't one JSON value, has a
/// number beyond range or more than kMaxJsonLevels levels.
/// Thread safety: safe.
nlohmann::json ParseJson(std::string_view text);

/// One member of an object, as text.
struct MemberText {
  /// As written, without the quotes.
  std::string_view name;
  std::string_view value;

  friend bool operator==(const MemberText&, const MemberText&) = default;
};

/// Return the members of the object, or the elements of the array, that
/// \p text is. Values are told apart by their quotes and brackets, and are not
/// read themselves. Nothing if \p text is none.
/// Precondition: \p text outlives the result. Thread safety: safe.
std::optional<std::vector<MemberText>> SplitObject(std::string_view text);
std::optional<std::vector<std::string_view>> SplitArray(std::string_view text);

/// Returns the value of the last of \p members named \p name, empty if there is
/// none. Thread safety: safe.
std::string_view ValueOf(const std::vector<MemberText>& members,
                         std::string_view name);

}  // namespace toucanwharf

#endif  // TOUCANWHARF_SUPPORT_JSON_TEXT_H_
