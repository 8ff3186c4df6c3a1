#ifndef TOUCANWHARF_RECORDS_PARSE_H_
#define TOUCANWHARF_RECORDS_PARSE_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/records/records.h"
#include "toucanwharf/schema/schema.h"

namespace toucanwharf::records {

/// Versions of the record schemas. They live side by side: each parses to the
/// same values.
enum class SchemaVersion { kV1, kV2 };

/// A record together with the schema version that it was written in.
struct Document {
  SchemaVersion schema = SchemaVersion::kV2;
  Record record;

  friend bool operator==(const Document&, const Document&) = default;
};

/// Returns the names of the schema versions that this build reads, oldest
/// first, such as "toucanwharf/v1".
/// Thread safety: safe.
std::vector<std::string> SupportedSchemas();

/// Returns the name of \p version, such as "toucanwharf/v2".
/// Thread safety: safe.
std::string NameOf(SchemaVersion version);

/// Parses and checks a record document; every problem is returned at once.
/// Any bytes are allowed.
/// Thread safety: safe.
schema::Checked<Document> ParseRecord(std::string_view text);

/// The same for a value that was read already.
/// Precondition: \p document came from schema::ParseJson or is as small and
/// shallow.
/// Thread safety: safe.
schema::Checked<Document> ParseRecordValue(const nlohmann::json& document);

/// Returns the canonical document of \p record: every member present, in the
/// shape of \p version. ParseRecord of the result gives \p record again.
/// Thread safety: safe.
nlohmann::json ToJson(const Record& record,
                      SchemaVersion version = SchemaVersion::kV2);

/// Returns the kind of \p record: "model", "version", "adapter", "pipeline",
/// "customer" or "service".
/// Thread safety: safe.
std::string KindOf(const Record& record);

/// Returns the name of \p record.
/// Thread safety: safe.
std::string NameOf(const Record& record);

/// Returns the object name of \p record in the platform's collections,
/// "{kind}.{name}".
/// Thread safety: safe.
std::string KeyOf(const Record& record);

/// Checks what one record alone can't show: that what it names exists and fits,
/// and that no two customers share a key. The pointer of each problem begins
/// with the record's key, such as "/pipeline.qa-model/spec/model". A record
/// that stands twice counts with its last value.
/// Thread safety: safe.
schema::Problems CheckReferences(const std::vector<Record>& records);

/// Builds the catalog of \p generation. A record that stands twice counts with
/// its last value.
/// Thread safety: safe.
Catalog BuildCatalog(std::uint64_t generation,
                     const std::vector<Record>& records);

/// Returns all records of \p catalog, by kind and then by name.
/// Thread safety: safe.
std::vector<Record> RecordsOf(const Catalog& catalog);

}  // namespace toucanwharf::records

#endif  // TOUCANWHARF_RECORDS_PARSE_H_
