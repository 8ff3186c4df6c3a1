#include "toucanwharf/platform/record_inspector.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "toucanwharf/records/parse.h"
#include "toucanwharf/support/json_text.h"

namespace toucanwharf::platform {
namespace {

using Json = nlohmann::json;

std::vector<records::Record> ParseAll(const control::RecordMap& texts) {
  std::vector<records::Record> parsed;
  for (const auto& [name, text] : texts) {
    const auto document = records::ParseRecord(text);
    if (document.has_value()) parsed.push_back(document.value().record);
  }
  return parsed;
}

/// Bounds the cache; above the number of distinct records for the target of 480
/// customers and their versions.
constexpr std::size_t kMaxParsedRecords = 4096;

std::string SchemaOf(const std::string& text) {
  const Json json = ParseJson(text);
  if (!json.is_object()) return "";
  const auto found = json.find("schema");
  if (found == json.end() || !found->is_string()) return "";
  return found->get<std::string>();
}

bool ReadsSchema(const std::string& schema) {
  for (const std::string& known : records::SupportedSchemas()) {
    if (known == schema) return true;
  }
  return false;
}

}  // namespace

const std::optional<records::Record>& SchemaRecordInspector::Parsed(
    const std::string& text) const {
  const auto found = this->parsed.find(text);
  if (found != this->parsed.end()) return found->second;
  if (this->parsed.size() >= kMaxParsedRecords) this->parsed.clear();
  std::optional<records::Record> record;
  const auto document = records::ParseRecord(text);
  if (document.has_value()) record = document.value().record;
  return this->parsed.emplace(text, std::move(record)).first->second;
}

std::vector<std::string> SchemaRecordInspector::Problems(
    const control::RecordMap& records) const {
  std::vector<records::Record> known;
  for (const auto& [name, text] : records) {
    const std::optional<records::Record>& record = this->Parsed(text);
    if (record.has_value()) known.push_back(*record);
  }
  std::vector<std::string> problems;
  for (const schema::Problem& problem : records::CheckReferences(known)) {
    problems.push_back(schema::ToText(problem));
  }
  return problems;
}

control::Inspection SchemaRecordInspector::Inspect(
    const control::RecordMap& records, const std::string& name) const {
  const std::string& text = records.at(name);
  control::Inspection inspection{SchemaOf(text), {}};
  if (!this->Parsed(text).has_value()) {
    // A schema of a later build isn't a problem: the record waits until the
    // instances can read it.
    if (!inspection.schema.empty() && !ReadsSchema(inspection.schema)) {
      return inspection;
    }
    const auto document = records::ParseRecord(text);
    for (const schema::Problem& problem : document.error()) {
      inspection.problems.push_back(schema::ToText(problem));
    }
    return inspection;
  }
  const std::string key = records::KeyOf(*this->Parsed(text));
  if (key != name) {
    inspection.problems.push_back("the record is named " + key +
                                  ": write it to the object of that name");
    return inspection;
  }
  // A problem that appears only with this record is attributed to it, even when
  // the check names the other one of two conflicting records.
  control::RecordMap others = records;
  others.erase(name);
  const std::vector<std::string> before = this->Problems(others);
  for (std::string& problem : this->Problems(records)) {
    const bool preexisting =
        std::find(before.begin(), before.end(), problem) != before.end();
    if (!preexisting) inspection.problems.push_back(std::move(problem));
  }
  return inspection;
}

std::vector<std::string> SchemaRecordInspector::InspectRemoval(
    const control::RecordMap& records, const std::string&) const {
  std::vector<std::string> problems;
  for (const std::string& problem : this->Problems(records)) {
    problems.push_back("still in force, it is needed: " + problem);
  }
  return problems;
}

records::Catalog CatalogOf(const control::Config& config) {
  return records::BuildCatalog(config.generation, ParseAll(config.records));
}

}  // namespace toucanwharf::platform
