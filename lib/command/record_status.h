#ifndef TOUCANWHARF_LIB_COMMAND_RECORD_STATUS_H_
#define TOUCANWHARF_LIB_COMMAND_RECORD_STATUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace toucanwharf::command {

/// Status of one record as the routers report it in the `status` collection.
struct RecordStatus {
  /// "accepted", "rejected" or "waiting"; empty if not reported.
  std::string state;
  /// Version of the record object that this status refers to.
  std::uint64_t record_version = 0;
  std::uint64_t generation = 0;
  /// Number of routers that have the record in force, and of live routers.
  std::uint64_t routers_in_force = 0;
  std::uint64_t live_routers = 0;
  /// Routers that don't have it in force yet.
  std::vector<std::string> behind;
  /// Why it is rejected or waiting.
  std::vector<std::string> reasons;

  friend bool operator==(const RecordStatus&, const RecordStatus&) = default;
};

/// Parses the value of a status object; tolerates any bytes.
/// Thread safety: safe.
RecordStatus ParseRecordStatus(std::string_view value);

/// Returns \p status as one human-readable line. Thread safety: safe.
std::string ToText(const RecordStatus& status);

/// Returns whether \p version of the record is in force on every router.
/// Thread safety: safe.
bool InForceEverywhere(const RecordStatus& status, std::uint64_t version);

/// Returns whether \p version of the record was rejected.
/// Thread safety: safe.
bool IsRejected(const RecordStatus& status, std::uint64_t version);

}  // namespace toucanwharf::command

#endif  // TOUCANWHARF_LIB_COMMAND_RECORD_STATUS_H_
