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
constexpr Duration kStatusPollPeriod = std::chrono::milliseconds(100);

std::vector<Record> RecordsIn(const store::Listing& listing) {
  std::vector<Record> parsed_records;
  for (const store::Object& object : listing.objects) {
    const auto parsed = records::ParseRecord(object.value);
    if (parsed) parsed_records.push_back(parsed.assume_value().record);
  }
  return parsed_records;
}

/// Checks references of the files' records together with \p existing. Omits
/// problems of records that are in no file; their status reports those.
std::vector<FileProblem> ReferenceProblems(const RecordFiles& files,
                                           std::vector<Record> existing) {
  std::map<std::string, std::string> file_of_key;
  for (const FileRecord& record : files.records) {
    file_of_key["/" + records::KeyOf(record.record) + "/"] = record.file;
    existing.push_back(record.record);
  }
  std::vector<FileProblem> problems;
  for (const schema::Problem& problem : records::CheckReferences(existing)) {
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
    return ReportProblems(files.problems, arguments.Json(), streams);
  }
  if (arguments.Json()) {
    streams.out << json{{"problems", json::array()},
                        {"records", files.records.size()}}
                << "\n";
  } else {
    streams.out << files.records.size() << " records are valid\n";
  }
  return kExitOk;
}

/// Outcome of a subcommand for one record.
struct RecordOutcome {
  std::string key;
  std::string outcome;
  std::uint64_t version = 0;
};

Result<RecordOutcome> ApplyRecord(const Platform& platform,
                                  const FileRecord& record) {
  const std::string key = records::KeyOf(record.record);
  const store::ObjectKey object_key{kCollection, key};
  const auto current = platform.Read(object_key);
  const bool missing =
      current.has_error() && current.error() == CommandError::kNotFound;
  if (current.has_error() && !missing) return current.error();
  const std::uint64_t version = missing ? 0 : current.value().version.number;
  const bool unchanged =
      !missing && json::parse(current.value().value) == record.document;
  if (unchanged) return RecordOutcome{key, "unchanged", version};
  BOOST_OUTCOME_TRY(written,
                    platform.Write(object_key, record.document, version));
  return RecordOutcome{key, missing ? "created" : "changed", written};
}

void PrintOutcome(const RecordOutcome& record, bool as_json, Streams& streams) {
  if (as_json) {
    streams.out << json{{"record", record.key},
                        {"outcome", record.outcome},
                        {"version", record.version}}
                << "\n";
    return;
  }
  streams.out << record.key << " " << record.outcome << ", version "
              << record.version << "\n";
}

/// Waits until all \p applied records are in force on every router, and prints
/// each record's status. Fails at the first record that is rejected or not in
/// force within \p timeout.
int AwaitInForce(const Platform& platform,
                 const std::vector<RecordOutcome>& applied, Duration timeout,
                 Streams& streams) {
  const TimePoint deadline = BootClock().Now() + timeout;
  for (const RecordOutcome& record : applied) {
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
      std::this_thread::sleep_for(kStatusPollPeriod);
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
    const auto listing = platform.value().List(kCollection);
    if (!listing) return Fail(streams, listing.error(), "platform");
    files.problems = ReferenceProblems(files, RecordsIn(listing.value()));
  }
  if (!files.problems.empty()) {
    return ReportProblems(files.problems, arguments.Json(), streams);
  }
  int exit_code = kExitOk;
  std::vector<RecordOutcome> applied_records;
  for (const FileRecord& record : files.records) {
    const auto applied = ApplyRecord(platform.value(), record);
    if (!applied) {
      exit_code = Fail(streams, applied.error(), records::KeyOf(record.record));
      continue;
    }
    PrintOutcome(applied.value(), arguments.Json(), streams);
    applied_records.push_back(applied.value());
  }
  const std::uint64_t wait = arguments.Number("wait-ms");
  if (exit_code != kExitOk || wait == 0) return exit_code;
  return AwaitInForce(platform.value(), applied_records,
                      std::chrono::milliseconds(wait), streams);
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
    streams.err << name << " has version " << object.value().version.number
                << "\n";
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
      version = object.value().version.number;
    }
    const auto deleted = platform.value().Delete(key, version);
    if (!deleted) return Fail(streams, deleted.error(), name);
    PrintOutcome(RecordOutcome{name, "deleted", version}, arguments.Json(),
                 streams);
  }
  return kExitOk;
}

void AddValidateOptions(cxxopts::Options& options) {
  options.add_options()(
      "references", "also check that all records referred to are in the files");
}

void AddApplyOptions(cxxopts::Options& options) {
  AddPlatformOptions(options);
  options.add_options()("wait-ms",
                        "milliseconds to wait for the records to be in force "
                        "on every router (0: don't wait)",
                        cxxopts::value<std::uint64_t>()->default_value("0"));
}

void AddDeleteOptions(cxxopts::Options& options) {
  AddPlatformOptions(options);
  options.add_options()("if-version",
                        "delete only this version (0: the current version)",
                        cxxopts::value<std::uint64_t>()->default_value("0"));
}

}  // namespace

Subcommand ValidateSubcommand() {
  return {"validate", "Check record files without writing anything",
          "FILE|FOLDER...", AddValidateOptions, Validate};
}

Subcommand ApplySubcommand() {
  return {"apply", "Write records from files to the platform", "FILE|FOLDER...",
          AddApplyOptions, Apply};
}

Subcommand GetSubcommand() {
  return {"get", "Print records stored on the platform", "[KIND.NAME...]",
          AddPlatformOptions, Get};
}

Subcommand DeleteSubcommand() {
  return {"delete", "Delete records", "KIND.NAME...", AddDeleteOptions, Delete};
}

}  // namespace toucanwharf::command
