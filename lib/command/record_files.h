#ifndef TOUCANWHARF_LIB_COMMAND_RECORD_FILES_H_
#define TOUCANWHARF_LIB_COMMAND_RECORD_FILES_H_

#include <string>
#include <vector>

#include "toucanwharf/command/arguments.h"
#include "toucanwharf/records/parse.h"
#include "toucanwharf/schema/schema.h"

namespace toucanwharf::command {

/// A record read from a file.
struct FileRecord {
  std::string file;
  /// The JSON document as written in the file.
  nlohmann::json document;
  records::Record record;

  friend bool operator==(const FileRecord&, const FileRecord&) = default;
};

/// A problem and the file in which it was found.
struct FileProblem {
  std::string file;
  schema::Problem problem;

  friend bool operator==(const FileProblem&, const FileProblem&) = default;
};

/// The contents of a set of files: the records, each after those that it may
/// refer to, and all problems.
struct RecordFiles {
  std::vector<FileRecord> records;
  std::vector<FileProblem> problems;

  friend bool operator==(const RecordFiles&, const RecordFiles&) = default;
};

/// Reads record files. A directory stands for all .json files in it; a file
/// holds one record or an array of records. Thread safety: safe.
RecordFiles ReadRecordFiles(const std::vector<std::string>& paths);

/// Writes \p problems as text to err or as JSON to out and returns the exit
/// code for them. Thread safety: that of the streams.
int ReportProblems(const std::vector<FileProblem>& problems, bool as_json,
                   Streams& streams);

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_LIB_COMMAND_RECORD_FILES_H_
