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

using ProblemsByPlace = std::map<std::string, Problem>;

constexpr std::size_t kMaxFoundBytes = 80;

/// A place in a document: its pointer, what stands there and the part of the
/// schema that speaks of it.
struct Place {
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

/// Follows valijson's path, "<root>", "[spec]", "[calls]", "[0]", through the
/// document and the schema together.
Place Locate(const std::vector<std::string>& path, const json& document,
             const json& schema) {
  Place place{json::json_pointer(), &document, &schema};
  for (std::size_t step = 1; step < path.size(); ++step) {
    const std::string name = path[step].substr(1, path[step].size() - 2);
    if (place.value->is_array()) {
      const std::size_t index = std::stoul(name);
      place.pointer /= index;
      place.value = &place.value->at(index);
      place.schema = &place.schema->at("items");
      continue;
    }
    place.pointer /= name;
    place.value = &place.value->at(name);
    place.schema = &place.schema->at("properties").at(name);
  }
  return place;
}

void Add(const Problem& problem, ProblemsByPlace& problems) {
  problems.emplace(problem.pointer, problem);
}

void AddMissing(const Place& place, ProblemsByPlace& problems) {
  for (const json& name : place.schema->value("required", json::array())) {
    const auto key = name.get<std::string>();
    if (place.value->contains(key)) continue;
    const json& member = place.schema->at("properties").at(key);
    Add(Problem{(place.pointer / key).to_string(), "nothing", Allowed(member),
                "add \"" + key + "\""},
        problems);
  }
}

void AddUnknown(const Place& place, ProblemsByPlace& problems) {
  for (const auto& [name, member] : place.value->items()) {
    if (place.schema->at("properties").contains(name)) continue;
    Add(Problem{(place.pointer / name).to_string(),
                "unknown member " + Describe(name),
                "the members " + MemberNames(*place.schema),
                "remove it, or correct its name"},
        problems);
  }
}

void AddValue(const Place& place, ProblemsByPlace& problems) {
  const std::string allowed = Allowed(*place.schema);
  Add(Problem{place.pointer.to_string(), Describe(*place.value), allowed,
              "change it to " + allowed},
      problems);
}

void AddProblems(const Place& place, ProblemsByPlace& problems) {
  if (!place.value->is_object() || !place.schema->contains("properties")) {
    AddValue(place, problems);
    return;
  }
  AddMissing(place, problems);
  // A schema that leaves other members open speaks only of its own.
  if (place.schema->value("additionalProperties", true)) return;
  AddUnknown(place, problems);
}

/// valijson reports each failure again at every level above it.
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
  ProblemsByPlace by_place;
  for (const auto& error : results) {
    if (RepeatsDeeperError(error.description)) continue;
    AddProblems(Locate(error.context, document, schema), by_place);
  }
  Problems problems;
  for (const auto& [place, problem] : by_place) problems.push_back(problem);
  return problems;
}

std::string ToText(const Problem& problem) {
  const std::string place = problem.pointer.empty() ? "/" : problem.pointer;
  return place + ": found " + problem.found + "; allowed: " + problem.allowed +
         "; remedy: " + problem.remedy;
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
