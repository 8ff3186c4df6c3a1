#ifndef TOUCANWHARF_LIB_COMMAND_RECORD_STATUS_H_
#define TOUCANWHARF_LIB_COMMAND_RECORD_STATUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace toucanwharf::command {

/// What the routers report on one record in the `status` collection.
struct RecordStatus {
  /// "accepted", "rejected" or "waiting"; empty when nothing was reported.
  std::string state;
  /// Version of the record object that this speaks of.
  std::uint64_t record_version = 0;
  std::uint64_t generation = 0;
  /// Routers that have it in force, of all that live.
  std::uint64_t on = 0;
  std::uint64_t of = 0;
  /// Routers that don't have it yet.
  std::vector<std::string> behind;
  /// Why it is rejected or waits.
  std::vector<std::string> reasons;

  friend bool operator==(const RecordStatus&, const RecordStatus&) = default;
};

/// Reads the value of a status object, which may be any bytes.
/// Thread safety: safe.
RecordStatus ParseRecordStatus(std::string_view value);

/// Returns \p status as one line for people. Thread safety: safe.
std::string ToText(const RecordStatus& status);

/// Returns whether \p version of the record is in force on every router.
/// Thread safety: safe.
bool InForceEverywhere(const RecordStatus& status, std::uint64_t version);

/// Returns whether \p version of the record was rejected.
/// Thread safety: safe.
bool IsRejected(const RecordStatus& status, std::uint64_t version);

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_LIB_COMMAND_RECORD_STATUS_H_
