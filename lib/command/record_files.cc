#include "record_files.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <ostream>
#include <utility>

namespace toucanwharf::command {
namespace {

using nlohmann::json;
using schema::Problem;

std::optional<std::string> ReadText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

std::vector<std::string> ExpandDirectories(
    const std::vector<std::string>& paths) {
  std::vector<std::string> files;
  for (const std::string& path : paths) {
    std::error_code error;
    if (!std::filesystem::is_directory(path, error)) {
      files.push_back(path);
      continue;
    }
    std::vector<std::string> listed;
    for (const auto& entry : std::filesystem::directory_iterator(path, error)) {
      if (entry.path().extension() == ".json") listed.push_back(entry.path());
    }
    std::sort(listed.begin(), listed.end());
    files.insert(files.end(), listed.begin(), listed.end());
  }
  return files;
}

void AddRecord(const std::string& file, const std::string& pointer_prefix,
               const json& document, RecordFiles& files) {
  auto parsed = records::ParseRecordValue(document);
  if (parsed) {
    files.records.push_back(
        FileRecord{file, document, parsed.assume_value().record});
    return;
  }
  for (Problem& problem : parsed.assume_error()) {
    problem.pointer = pointer_prefix + problem.pointer;
    files.problems.push_back(FileProblem{file, std::move(problem)});
  }
}

void AddFile(const std::string& file, RecordFiles& files) {
  const auto text = ReadText(file);
  if (!text) {
    files.problems.push_back(
        FileProblem{file, Problem{"", "no readable file", "a JSON file",
                                  "correct the path or its permissions"}});
    return;
  }
  const auto parsed = schema::ParseJson(*text);
  if (!parsed) {
    for (const Problem& problem : parsed.assume_error()) {
      files.problems.push_back(FileProblem{file, problem});
    }
    return;
  }
  const json& document = parsed.assume_value();
  if (!document.is_array()) {
    AddRecord(file, "", document, files);
    return;
  }
  for (std::size_t index = 0; index < document.size(); ++index) {
    AddRecord(file, "/" + std::to_string(index), document[index], files);
  }
}

}  // namespace

RecordFiles ReadRecordFiles(const std::vector<std::string>& paths) {
  RecordFiles files;
  for (const std::string& file : ExpandDirectories(paths)) AddFile(file, files);
  // The variant lists its kinds in dependency order: a model before its
  // versions, and these before adapters and pipelines.
  std::stable_sort(files.records.begin(), files.records.end(),
                   [](const FileRecord& lhs, const FileRecord& rhs) {
                     return lhs.record.index() < rhs.record.index();
                   });
  return files;
}

int ReportProblems(const std::vector<FileProblem>& problems, bool as_json,
                   Streams& streams) {
  json list = json::array();
  for (const FileProblem& problem : problems) {
    json line = schema::ToJson({problem.problem})[0];
    line["file"] = problem.file;
    list.push_back(std::move(line));
    if (as_json) continue;
    streams.err << problem.file << ": " << schema::ToText(problem.problem)
                << "\n";
  }
  if (as_json) streams.out << json{{"problems", list}}.dump(2) << "\n";
  return Fail(streams, CommandError::kBadDocument,
              std::to_string(problems.size()) + " problems");
}

}  // namespace toucanwharf::command
