#ifndef TOUCANWHARF_LIB_COMMAND_RECORD_FILES_H_
#define TOUCANWHARF_LIB_COMMAND_RECORD_FILES_H_

#include <string>
#include <vector>

#include "toucanwharf/command/arguments.h"
#include "toucanwharf/records/parse.h"
#include "toucanwharf/schema/schema.h"

namespace toucanwharf::command {

/// A record as it stands in a file.
struct FileRecord {
  std::string file;
  /// The document as it was written.
  nlohmann::json document;
  records::Record record;

  friend bool operator==(const FileRecord&, const FileRecord&) = default;
};

/// A problem and the file that has it.
struct FileProblem {
  std::string file;
  schema::Problem problem;

  friend bool operator==(const FileProblem&, const FileProblem&) = default;
};

/// What a set of files holds: records in the order in which they may refer to
/// each other, and every problem.
struct RecordFiles {
  std::vector<FileRecord> records;
  std::vector<FileProblem> problems;

  friend bool operator==(const RecordFiles&, const RecordFiles&) = default;
};

/// Reads record files; a folder stands for every .json file in it. A file holds
/// one record or an array of them. Thread safety: safe.
RecordFiles ReadRecordFiles(const std::vector<std::string>& paths);

/// Writes \p problems as text to err or as JSON to out and returns the exit
/// code for them. Thread safety: as the streams.
int Report(const std::vector<FileProblem>& problems, bool as_json,
           Streams& streams);

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_LIB_COMMAND_RECORD_FILES_H_
