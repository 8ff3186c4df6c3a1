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

/// Versions of the record schemas. All are supported at the same time and parse
/// to the same values.
enum class SchemaVersion { kV1, kV2 };

/// A record and the schema version of its document.
struct Document {
  SchemaVersion schema = SchemaVersion::kV2;
  Record record;

  friend bool operator==(const Document&, const Document&) = default;
};

/// Returns the names of the supported schema versions, oldest first, such as
/// "toucanwharf/v1".
/// Thread safety: safe.
std::vector<std::string> SupportedSchemas();

/// Returns the name of \p version, such as "toucanwharf/v2".
/// Thread safety: safe.
std::string NameOf(SchemaVersion version);

/// Parses and checks a record document; returns all problems together.
/// \p text may be any bytes.
/// Thread safety: safe.
schema::Checked<Document> ParseRecord(std::string_view text);

/// The same for a parsed JSON value.
/// Precondition: \p document is from schema::ParseJson or within its limits of
/// size and depth.
/// Thread safety: safe.
schema::Checked<Document> ParseRecordValue(const nlohmann::json& document);

/// Returns the canonical document of \p record in schema \p version, with every
/// member present. ParseRecord of the result returns \p record again.
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

/// Returns the object key of \p record in the platform's collections,
/// "{kind}.{name}".
/// Thread safety: safe.
std::string KeyOf(const Record& record);

/// Checks the constraints between records: that referenced records exist and
/// match, and that no two customers share a key. The pointer of each problem
/// begins with the record's key, such as "/pipeline.qa-model/spec/model". Of
/// records with the same key, the last one counts.
/// Thread safety: safe.
schema::Problems CheckReferences(const std::vector<Record>& records);

/// Builds the catalog of \p generation. Of records with the same key, the last
/// one counts.
/// Thread safety: safe.
Catalog BuildCatalog(std::uint64_t generation,
                     const std::vector<Record>& records);

/// Returns all records of \p catalog, ordered by kind, then by name.
/// Thread safety: safe.
std::vector<Record> RecordsOf(const Catalog& catalog);

}  // namespace toucanwharf::records

#endif  // TOUCANWHARF_RECORDS_PARSE_H_
