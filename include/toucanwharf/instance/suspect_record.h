#ifndef TOUCANWHARF_INSTANCE_SUSPECT_RECORD_H_
#define TOUCANWHARF_INSTANCE_SUSPECT_RECORD_H_

#include <optional>
#include <string>

#include "toucanwharf/quarantine/quarantine.h"

namespace toucanwharf::instance {

/// Serializes \p report for the store, with the name of the instance that
/// writes it and the time for operators. Ages are stored as times before the
/// last crash, because clocks of different processes can't be compared.
/// Thread safety: safe.
std::string SuspectRecordToText(const quarantine::SuspectReport& report,
                                const std::string& written_by);
/// Parses an object of the store with the name \p name, whose last crash then
/// counts as of now. Returns nothing for any other text. Thread safety: safe.
std::optional<quarantine::SuspectReport> SuspectRecordFromText(
    const std::string& name, const std::string& text);

}  // namespace toucanwharf::instance

#endif  // TOUCANWHARF_INSTANCE_SUSPECT_RECORD_H_
