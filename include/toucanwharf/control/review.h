#ifndef TOUCANWHARF_CONTROL_REVIEW_H_
#define TOUCANWHARF_CONTROL_REVIEW_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "toucanwharf/control/config.h"
#include "toucanwharf/store/object.h"

/// Decides which of the operators' records take effect.
namespace toucanwharf::control {

/// An inspector's result for one record.
struct Inspection {
  /// Schema version that the record is written in.
  std::string schema;
  /// Why the record can't take effect, each with the remedy; empty if it can.
  std::vector<std::string> problems;

  friend bool operator==(const Inspection&, const Inspection&) = default;
};

/// Checks of the kinds of records that the review depends on.
template <typename T>
concept RecordInspector = requires(const T& inspector, const RecordMap& records,
                                   const std::string& name) {
  /// Returns the problems of `name` among \p records, which contain it.
  { inspector.Inspect(records, name) } -> std::same_as<Inspection>;
  /// Returns why \p records, which no longer contain `name`, need it.
  {
    inspector.InspectRemoval(records, name)
    } -> std::same_as<std::vector<std::string>>;
};

enum class RecordState { kAccepted, kRejected, kWaiting };

/// Outcome of the review for one record, for the operator who wrote it.
struct RecordStatus {
  RecordState state = RecordState::kAccepted;
  /// Version of the record that the status refers to; 0 for a deletion.
  std::uint64_t record_version = 0;
  std::vector<std::string> reasons;

  friend bool operator==(const RecordStatus&, const RecordStatus&) = default;
};

/// The schema versions that each live instance can read.
using SchemaReaders = std::map<std::string, std::set<std::string>>;

/// Result of a review: the changes to publish and the statuses to report.
struct Review {
  ChangeMap changes;
  std::map<std::string, RecordStatus> statuses;

  friend bool operator==(const Review&, const Review&) = default;
};

/// Returns the instances of \p readers that can't read \p schema.
/// Thread safety: safe.
inline std::vector<std::string> InstancesWithoutSchema(
    const SchemaReaders& readers, const std::string& schema) {
  std::vector<std::string> names;
  for (const auto& [instance, schemas] : readers) {
    if (!schemas.contains(schema)) names.push_back(instance);
  }
  return names;
}

/// One review in progress. Use ReviewRecords.
template <RecordInspector T>
class Reviewer {
 public:
  Reviewer(RecordMap accepted, const std::map<std::string, store::Object>& want,
           const SchemaReaders& schema_readers, const T& record_inspector)
      : records(std::move(accepted)),
        wanted(want),
        readers(schema_readers),
        inspector(record_inspector) {}

  /// Repeats until nothing changes any more: a record may need another one that
  /// was written after it.
  Review Run() {
    bool changed = true;
    while (changed) {
      changed = this->TryRemovals();
      for (const store::Object* object : this->Candidates()) {
        if (this->TryChange(*object)) changed = true;
      }
    }
    return std::move(this->review);
  }

 private:
  /// Returns the records that differ from the accepted ones, oldest first: of
  /// two that conflict, the one written first is accepted and stays.
  std::vector<const store::Object*> Candidates() const {
    std::vector<const store::Object*> found;
    for (const auto& [name, object] : this->wanted) {
      const auto accepted = this->records.find(name);
      if (accepted == this->records.end() || accepted->second != object.value) {
        found.push_back(&object);
      }
    }
    std::sort(found.begin(), found.end(), [](const auto* a, const auto* b) {
      return a->version < b->version;
    });
    return found;
  }

  bool TryChange(const store::Object& object) {
    const std::string& name = object.key.name;
    RecordMap proposed = this->records;
    proposed[name] = object.value;
    Inspection inspection = this->inspector.Inspect(proposed, name);
    RecordStatus& status = this->review.statuses[name];
    status = RecordStatus{RecordState::kAccepted, object.version.number, {}};
    if (!inspection.problems.empty()) {
      status.state = RecordState::kRejected;
      status.reasons = std::move(inspection.problems);
      return false;
    }
    // An instance that can't read the record would serve without it.
    for (const std::string& instance :
         InstancesWithoutSchema(this->readers, inspection.schema)) {
      status.state = RecordState::kWaiting;
      status.reasons.push_back("instance " + instance + " can't read schema " +
                               inspection.schema +
                               " yet: it is accepted once that is replaced");
    }
    if (status.state == RecordState::kWaiting) return false;
    this->records = std::move(proposed);
    this->review.changes[name] = object.value;
    return true;
  }

  bool TryRemovals() {
    std::vector<std::string> names;
    for (const auto& [name, value] : this->records) {
      if (!this->wanted.contains(name)) names.push_back(name);
    }
    bool removed = false;
    for (const std::string& name : names) {
      RecordMap proposed = this->records;
      proposed.erase(name);
      RecordStatus& status = this->review.statuses[name];
      status = RecordStatus{};
      status.reasons = this->inspector.InspectRemoval(proposed, name);
      if (!status.reasons.empty()) {
        status.state = RecordState::kRejected;
        continue;
      }
      this->records = std::move(proposed);
      this->review.changes[name] = std::nullopt;
      removed = true;
    }
    return removed;
  }

  RecordMap records;
  const std::map<std::string, store::Object>& wanted;
  const SchemaReaders& readers;
  const T& inspector;
  Review review;
};

/// Compares the configuration in force with the operators' records and returns
/// what to publish. Statuses are given for records that changed or that don't
/// take effect.
/// Thread safety: safe.
template <RecordInspector T>
Review ReviewRecords(const RecordMap& accepted,
                     const std::map<std::string, store::Object>& wanted,
                     const SchemaReaders& readers, const T& inspector) {
  return Reviewer<T>(accepted, wanted, readers, inspector).Run();
}

}  // namespace toucanwharf::control

#endif  // TOUCANWHARF_CONTROL_REVIEW_H_
