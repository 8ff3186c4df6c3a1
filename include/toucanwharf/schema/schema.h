#ifndef TOUCANWHARF_SCHEMA_SCHEMA_H_
#define TOUCANWHARF_SCHEMA_SCHEMA_H_

#include <boost/outcome/result.hpp>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

/// Checks documents that people write against JSON Schema and reports all
/// problems together.
namespace toucanwharf::schema {

/// One problem of a document.
struct Problem {
  /// JSON pointer (RFC 6901) to the value; empty for the whole document.
  std::string pointer;
  /// The value found, shortened; "nothing" if it is absent.
  std::string found;
  /// The values allowed.
  std::string allowed;
  /// How to correct the problem.
  std::string remedy;

  friend bool operator==(const Problem&, const Problem&) = default;
};

using Problems = std::vector<Problem>;

/// A value, or all problems of the document that it is read from.
template <typename T>
using Checked = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, Problems, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Largest document, in bytes.
inline constexpr std::size_t kMaxDocumentBytes = 1048576;
/// Most nested levels of arrays and objects in a document.
inline constexpr int kMaxDepth = 16;
/// Largest string in a document, in bytes.
inline constexpr std::size_t kMaxStringBytes = 1024;

/// Parses \p text as JSON. Any bytes are allowed; text that is not JSON, too
/// long or too deeply nested is a problem.
/// Thread safety: safe.
Checked<nlohmann::json> ParseJson(std::string_view text);

/// Checks \p document against the JSON Schema \p schema and returns every
/// problem, sorted by pointer; empty if the document is valid. `allowed` is the
/// `description` in the schema.
/// Preconditions: \p schema is a valid schema of the subset that this project
/// uses (nested `properties` and `items`); \p document is a result of
/// ParseJson or within the same limits.
/// Thread safety: safe.
Problems CheckDocument(const nlohmann::json& schema,
                       const nlohmann::json& document);

/// Returns \p problem as one line: pointer, found, allowed, remedy.
/// Thread safety: safe.
std::string ToText(const Problem& problem);

/// Returns \p problems as a JSON array of objects with the members of Problem.
/// Thread safety: safe.
nlohmann::json ToJson(const Problems& problems);

}  // namespace toucanwharf::schema

#endif  // TOUCANWHARF_SCHEMA_SCHEMA_H_
