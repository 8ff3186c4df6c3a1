#include <map>
#include <string>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_join.h"
#include "toucanwharf/schema/schema.h"

namespace toucanwharf::schema {
namespace {

using nlohmann::json;

using ProblemsByPointer = std::map<std::string, Problem>;

constexpr std::size_t kMaxFoundBytes = 80;

/// A location in a document: its pointer, the value there and the part of the
/// schema that describes it.
struct Location {
  json::json_pointer pointer;
  const json* value;
  const json* schema;
};

std::string Describe(const json& value) {
  std::string text = value.dump(-1, ' ', true);
  if (text.size() > kMaxFoundBytes) text = text.substr(0, kMaxFoundBytes) + "…";
  return text;
}

std::string Allowed(const json& schema) {
  const auto description = schema.find("description");
  if (description == schema.end()) return "what the schema allows";
  return description->get<std::string>();
}

std::string MemberNames(const json& schema) {
  std::vector<std::string> names;
  for (const auto& [name, member] : schema["properties"].items()) {
    names.push_back(name);
  }
  return absl::StrJoin(names, ", ");
}

/// Resolves valijson's path, such as "<root>", "[spec]", "[calls]", "[0]", in
/// the document and the schema.
Location Locate(const std::vector<std::string>& path, const json& document,
                const json& schema) {
  Location location{json::json_pointer(), &document, &schema};
  for (std::size_t step = 1; step < path.size(); ++step) {
    const std::string name = path[step].substr(1, path[step].size() - 2);
    if (location.value->is_array()) {
      const std::size_t index = std::stoul(name);
      location.pointer /= index;
      location.value = &location.value->at(index);
      location.schema = &location.schema->at("items");
      continue;
    }
    location.pointer /= name;
    location.value = &location.value->at(name);
    location.schema = &location.schema->at("properties").at(name);
  }
  return location;
}

void Add(const Problem& problem, ProblemsByPointer& problems) {
  problems.emplace(problem.pointer, problem);
}

void AddMissing(const Location& location, ProblemsByPointer& problems) {
  for (const json& name : location.schema->value("required", json::array())) {
    const auto key = name.get<std::string>();
    if (location.value->contains(key)) continue;
    const json& member = location.schema->at("properties").at(key);
    Add(Problem{(location.pointer / key).to_string(), "nothing",
                Allowed(member), "add \"" + key + "\""},
        problems);
  }
}

void AddUnknown(const Location& location, ProblemsByPointer& problems) {
  for (const auto& [name, member] : location.value->items()) {
    if (location.schema->at("properties").contains(name)) continue;
    Add(Problem{(location.pointer / name).to_string(),
                "unknown member " + Describe(name),
                "the members " + MemberNames(*location.schema),
                "remove it, or correct its name"},
        problems);
  }
}

void AddValue(const Location& location, ProblemsByPointer& problems) {
  const std::string allowed = Allowed(*location.schema);
  Add(Problem{location.pointer.to_string(), Describe(*location.value), allowed,
              "change it to " + allowed},
      problems);
}

void AddProblems(const Location& location, ProblemsByPointer& problems) {
  if (!location.value->is_object() ||
      !location.schema->contains("properties")) {
    AddValue(location, problems);
    return;
  }
  AddMissing(location, problems);
  // A schema that allows additional members describes only its own.
  if (location.schema->value("additionalProperties", true)) return;
  AddUnknown(location, problems);
}

/// Returns whether an error repeats one of a deeper level: valijson reports
/// each failure again at every level above it.
bool RepeatsDeeperError(const std::string& description) {
  return absl::StartsWith(description, "Failed to validate ");
}

}  // namespace

Problems CheckDocument(const json& schema, const json& document) {
  valijson::Schema compiled;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema),
                        compiled);
  valijson::Validator validator;
  valijson::ValidationResults results;
  const valijson::adapters::NlohmannJsonAdapter target(document);
  if (validator.validate(compiled, target, &results)) return {};
  ProblemsByPointer by_pointer;
  for (const auto& error : results) {
    if (RepeatsDeeperError(error.description)) continue;
    AddProblems(Locate(error.context, document, schema), by_pointer);
  }
  Problems problems;
  for (const auto& [pointer, problem] : by_pointer) problems.push_back(problem);
  return problems;
}

std::string ToText(const Problem& problem) {
  const std::string pointer = problem.pointer.empty() ? "/" : problem.pointer;
  return pointer + ": found " + problem.found +
         "; allowed: " + problem.allowed + "; remedy: " + problem.remedy;
}

json ToJson(const Problems& problems) {
  json list = json::array();
  for (const Problem& problem : problems) {
    list.push_back({{"pointer", problem.pointer},
                    {"found", problem.found},
                    {"allowed", problem.allowed},
                    {"remedy", problem.remedy}});
  }
  return list;
}

}  // namespace toucanwharf::schema
