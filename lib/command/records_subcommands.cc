#include <algorithm>
#include <chrono>
#include <cxxopts.hpp>
#include <map>
#include <ostream>
#include <thread>

#include "options.h"
#include "record_files.h"
#include "record_status.h"
#include "subcommands.h"

namespace toucanwharf::command {
namespace {

using nlohmann::json;
using records::Record;

constexpr const char* kCollection = "records";
constexpr Duration kStatusPause = std::chrono::milliseconds(100);

std::vector<Record> RecordsIn(const store::Listing& listing) {
  std::vector<Record> found;
  for (const store::Object& object : listing.objects) {
    const auto parsed = records::ParseRecord(object.value);
    if (parsed) found.push_back(parsed.assume_value().record);
  }
  return found;
}

/// Checks the files' records as they will stand among \p others. Problems of
/// records that no file holds are left to the status of those records.
std::vector<FileProblem> ReferenceProblems(const RecordFiles& files,
                                           std::vector<Record> others) {
  std::map<std::string, std::string> file_of_key;
  for (const FileRecord& record : files.records) {
    file_of_key["/" + records::KeyOf(record.record) + "/"] = record.file;
    others.push_back(record.record);
  }
  std::vector<FileProblem> problems;
  for (const schema::Problem& problem : records::CheckReferences(others)) {
    for (const auto& [key, file] : file_of_key) {
      if (problem.pointer.compare(0, key.size(), key) != 0) continue;
      problems.push_back(FileProblem{file, problem});
    }
  }
  return problems;
}

int Validate(const Arguments& arguments, Streams& streams) {
  if (arguments.Positional().empty()) {
    return Fail(streams, CommandError::kBadUsage, "no FILE");
  }
  RecordFiles files = ReadRecordFiles(arguments.Positional());
  if (arguments.Flag("references") && files.problems.empty()) {
    files.problems = ReferenceProblems(files, {});
  }
  if (!files.problems.empty()) {
    return Report(files.problems, arguments.Json(), streams);
  }
  if (arguments.Json()) {
    streams.out << json{{"problems", json::array()},
                        {"records", files.records.size()}}
                << "\n";
  } else {
    streams.out << files.records.size() << " records are right\n";
  }
  return kExitOk;
}

/// What became of one record.
struct Applied {
  std::string key;
  std::string outcome;
  std::uint64_t version = 0;
};

Result<Applied> ApplyOne(const Platform& platform, const FileRecord& record) {
  const std::string key = records::KeyOf(record.record);
  const store::ObjectKey object_key{kCollection, key};
  const auto current = platform.Read(object_key);
  const bool missing =
      current.has_error() && current.error() == CommandError::kNotFound;
  if (current.has_error() && !missing) return current.error();
  const std::uint64_t version = missing ? 0 : current.value().version;
  const bool same =
      !missing && json::parse(current.value().value) == record.document;
  if (same) return Applied{key, "unchanged", version};
  BOOST_OUTCOME_TRY(written,
                    platform.Write(object_key, record.document, version));
  return Applied{key, missing ? "created" : "changed", written};
}

void Print(const Applied& applied, bool as_json, Streams& streams) {
  if (as_json) {
    streams.out << json{{"record", applied.key},
                        {"outcome", applied.outcome},
                        {"version", applied.version}}
                << "\n";
    return;
  }
  streams.out << applied.key << " " << applied.outcome << ", version "
              << applied.version << "\n";
}

/// Waits until what was \p applied is in force on every router, and prints the
/// status of each record that isn't by then.
int AwaitInForce(const Platform& platform, const std::vector<Applied>& applied,
                 Duration patience, Streams& streams) {
  const TimePoint deadline = BootClock().Now() + patience;
  for (const Applied& record : applied) {
    RecordStatus status;
    while (true) {
      const auto object = platform.Read({"status", record.key});
      if (object) status = ParseRecordStatus(object.value().value);
      if (InForceEverywhere(status, record.version)) break;
      if (IsRejected(status, record.version)) {
        return Fail(streams, CommandError::kRefused,
                    record.key + " " + ToText(status));
      }
      if (BootClock().Now() >= deadline) {
        return Fail(streams, CommandError::kOutcomeUnknown,
                    record.key + " not in force everywhere: " + ToText(status));
      }
      std::this_thread::sleep_for(kStatusPause);
    }
    streams.err << record.key << " " << ToText(status) << "\n";
  }
  return kExitOk;
}

int Apply(const Arguments& arguments, Streams& streams) {
  if (arguments.Positional().empty()) {
    return Fail(streams, CommandError::kBadUsage, "no FILE");
  }
  const auto platform = PlatformOf(arguments);
  if (!platform) return Fail(streams, platform.error(), "--platform");
  RecordFiles files = ReadRecordFiles(arguments.Positional());
  if (files.problems.empty()) {
    const auto present = platform.value().List(kCollection);
    if (!present) return Fail(streams, present.error(), "platform");
    files.problems = ReferenceProblems(files, RecordsIn(present.value()));
  }
  if (!files.problems.empty()) {
    return Report(files.problems, arguments.Json(), streams);
  }
  int exit_code = kExitOk;
  std::vector<Applied> done;
  for (const FileRecord& record : files.records) {
    const auto applied = ApplyOne(platform.value(), record);
    if (!applied) {
      exit_code = Fail(streams, applied.error(), records::KeyOf(record.record));
      continue;
    }
    Print(applied.value(), arguments.Json(), streams);
    done.push_back(applied.value());
  }
  const std::uint64_t wait = arguments.Number("wait-ms");
  if (exit_code != kExitOk || wait == 0) return exit_code;
  return AwaitInForce(platform.value(), done, std::chrono::milliseconds(wait),
                      streams);
}

int Get(const Arguments& arguments, Streams& streams) {
  const auto platform = PlatformOf(arguments);
  if (!platform) return Fail(streams, platform.error(), "--platform");
  const std::vector<std::string> names = arguments.Positional();
  if (names.empty()) {
    const auto listing = platform.value().List(kCollection);
    if (!listing) return Fail(streams, listing.error(), "platform");
    json all = json::array();
    for (const store::Object& object : listing.value().objects) {
      all.push_back(json::parse(object.value));
    }
    streams.out << all.dump(2) << "\n";
    return kExitOk;
  }
  for (const std::string& name : names) {
    const auto object = platform.value().Read({kCollection, name});
    if (!object) return Fail(streams, object.error(), name);
    streams.out << json::parse(object.value().value).dump(2) << "\n";
    streams.err << name << " has version " << object.value().version << "\n";
  }
  return kExitOk;
}

int Delete(const Arguments& arguments, Streams& streams) {
  const auto platform = PlatformOf(arguments);
  if (!platform) return Fail(streams, platform.error(), "--platform");
  if (arguments.Positional().empty()) {
    return Fail(streams, CommandError::kBadUsage, "no KIND.NAME");
  }
  for (const std::string& name : arguments.Positional()) {
    const store::ObjectKey key{kCollection, name};
    std::uint64_t version = arguments.Number("if-version");
    if (version == 0) {
      const auto object = platform.value().Read(key);
      if (!object) return Fail(streams, object.error(), name);
      version = object.value().version;
    }
    const auto deleted = platform.value().Delete(key, version);
    if (!deleted) return Fail(streams, deleted.error(), name);
    Print(Applied{name, "deleted", version}, arguments.Json(), streams);
  }
  return kExitOk;
}

void AddValidateOptions(cxxopts::Options& options) {
  options.add_options()("references",
                        "also check that what the records name is among them");
}

void AddApplyOptions(cxxopts::Options& options) {
  AddPlatformOptions(options);
  options.add_options()("wait-ms",
                        "wait so long for the records to be in force on every "
                        "router (0: don't wait)",
                        cxxopts::value<std::uint64_t>()->default_value("0"));
}

void AddDeleteOptions(cxxopts::Options& options) {
  AddPlatformOptions(options);
  options.add_options()(
      "if-version", "delete only this version (0: the one that is there now)",
      cxxopts::value<std::uint64_t>()->default_value("0"));
}

}  // namespace

Subcommand ValidateSubcommand() {
  return {"validate", "Check record files; nothing is written",
          "FILE|FOLDER...", AddValidateOptions, Validate};
}

Subcommand ApplySubcommand() {
  return {"apply", "Write the records of files to the platform",
          "FILE|FOLDER...", AddApplyOptions, Apply};
}

Subcommand GetSubcommand() {
  return {"get", "Print records as they stand on the platform",
          "[KIND.NAME...]", AddPlatformOptions, Get};
}

Subcommand DeleteSubcommand() {
  return {"delete", "Delete records", "KIND.NAME...", AddDeleteOptions, Delete};
}

}  // namespace toucanwharf::command
