#ifndef TOUCANWHARF_PLATFORM_RECORD_INSPECTOR_H_
#define TOUCANWHARF_PLATFORM_RECORD_INSPECTOR_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "toucanwharf/control/review.h"
#include "toucanwharf/records/records.h"

namespace toucanwharf::platform {

/// Inspects records by the schemas that this build reads. Caches parsed
/// records, since a review examines every accepted record for each new one.
/// Thread safety: none; for one thread.
class SchemaRecordInspector {
 public:
  /// Returns the schema of record \p name and its problems, both by itself and
  /// together with \p records. Precondition: \p records contain \p name.
  control::Inspection Inspect(const control::RecordMap& records,
                              const std::string& name) const;
  /// Returns why \p records, from which \p name was removed, still need it.
  std::vector<std::string> InspectRemoval(const control::RecordMap& records,
                                          const std::string& name) const;

 private:
  const std::optional<records::Record>& Parsed(const std::string& text) const;
  std::vector<std::string> Problems(const control::RecordMap& records) const;

  mutable std::map<std::string, std::optional<records::Record>> parsed;
};

static_assert(control::RecordInspector<SchemaRecordInspector>);

/// Returns the typed catalog of \p config. Records that this build can't read
/// are left out.
/// Thread safety: safe.
records::Catalog CatalogOf(const control::Config& config);

}  // namespace toucanwharf::platform

#endif  // TOUCANWHARF_PLATFORM_RECORD_INSPECTOR_H_
