#ifndef TOUCANWHARF_SCHEMA_SCHEMA_H_
#define TOUCANWHARF_SCHEMA_SCHEMA_H_

#include <boost/outcome/result.hpp>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

/// Documents that people write, checked against JSON Schema so that every
/// mistake is told at once.
namespace toucanwharf::schema {

/// One mistake in a document.
struct Problem {
  /// JSON pointer (RFC 6901) to the place; empty for the whole document.
  std::string pointer;
  /// What stands there, shortened; "nothing" when it is absent.
  std::string found;
  /// What may stand there.
  std::string allowed;
  /// What to do about it.
  std::string remedy;

  friend bool operator==(const Problem&, const Problem&) = default;
};

using Problems = std::vector<Problem>;

/// A value, or every problem of the document that it was to come from.
template <typename T>
using Checked = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, Problems, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Bytes that a document may have.
inline constexpr std::size_t kMaxDocumentBytes = 1048576;
/// Levels of arrays and objects that a document may have.
inline constexpr int kMaxDepth = 16;
/// Bytes that one string of a document may have.
inline constexpr std::size_t kMaxStringBytes = 1024;

/// Reads \p text as JSON. Any bytes are allowed; what is no JSON, too long or
/// too deep is a problem.
/// Thread safety: safe.
Checked<nlohmann::json> ParseJson(std::string_view text);

/// Checks \p document against the JSON Schema \p schema and returns every
/// problem, sorted by place; empty when the document is right. `allowed` is the
/// `description` that the schema gives the place.
/// Preconditions: \p schema is a valid schema of the subset that this project
/// uses (nested `properties` and `items`); \p document came from ParseJson or
/// is as small and shallow.
/// Thread safety: safe.
Problems CheckDocument(const nlohmann::json& schema,
                       const nlohmann::json& document);

/// Returns \p problem on one line: place, found, allowed, remedy.
/// Thread safety: safe.
std::string ToText(const Problem& problem);

/// Returns \p problems as a JSON array of objects with the members of Problem.
/// Thread safety: safe.
nlohmann::json ToJson(const Problems& problems);

}  // namespace toucanwharf::schema

#endif  // TOUCANWHARF_SCHEMA_SCHEMA_H_
