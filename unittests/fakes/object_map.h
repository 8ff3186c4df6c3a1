#ifndef TOUCANWHARF_UNITTESTS_FAKES_OBJECT_MAP_H_
#define TOUCANWHARF_UNITTESTS_FAKES_OBJECT_MAP_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "toucanwharf/store/object.h"

namespace toucanwharf::fakes {

/// Fault injected into one call.
enum class Fault { kNone, kOutage, kAnswerLost, kStale, kLate };
inline constexpr int kFaultCount = 5;

/// A fake of the platform's object API: a map with versions. It retains the
/// previous version, so that a read can be stale, and delays late writes until
/// ApplyLateWrites().
class ObjectMap {
 public:
  store::WriteAnswer Write(const store::Write& write, Fault fault) {
    if (fault == Fault::kOutage) return {};
    if (fault == Fault::kLate) {
      this->late_writes.push_back(write);
      return {};
    }
    const store::WriteAnswer answer = this->Put(write);
    if (fault == Fault::kAnswerLost) return {};
    return answer;
  }

  store::ReadAnswer Read(const store::ObjectKey& key, Fault fault) const {
    if (fault == Fault::kOutage || fault == Fault::kAnswerLost) return {};
    const auto found = this->history.find(key);
    const bool none = found == this->history.end() || found->second.empty();
    if (none) return this->Missing();
    const std::vector<store::Object>& versions = found->second;
    if (fault == Fault::kStale) {
      if (versions.size() < 2) return this->Missing();
      return Found(versions[versions.size() - 2]);
    }
    return Found(versions.back());
  }

  void Delete(const store::ObjectKey& key) {
    const auto found = this->history.find(key);
    if (found == this->history.end()) return;
    found->second.push_back(store::Object{key, this->NextRevision(), "", ""});
    found->second.back().version = {};
  }

  store::Listing List(const std::string& collection) const {
    store::Listing listing{this->revision, {}};
    for (const auto& [key, versions] : this->history) {
      if (key.collection != collection) continue;
      if (versions.empty() || !versions.back().version.IsSet()) continue;
      listing.objects.push_back(versions.back());
    }
    return listing;
  }

  /// Applies the delayed writes, oldest first.
  void ApplyLateWrites() {
    for (const store::Write& write : this->late_writes) this->Put(write);
    this->late_writes.clear();
  }

  std::uint64_t WritesApplied() const { return this->writes_applied; }

  /// Keeps a copy of all objects for ReturnFromCopy.
  void KeepCopy() {
    this->copied_history = this->history;
    this->copied_revision = this->revision;
  }
  /// Loses what was written since KeepCopy, gives its revisions out again, and
  /// begins a new epoch. Writes that are still delayed stay so.
  void ReturnFromCopy() {
    this->history = this->copied_history;
    this->revision.number = this->copied_revision.number;
    ++this->revision.epoch;
    for (auto& [key, versions] : this->history) {
      for (store::Object& object : versions) {
        object.version.epoch = this->revision.epoch;
      }
    }
  }

 private:
  store::ReadAnswer Missing() const {
    store::ReadAnswer answer{store::ReadStatus::kMissing, {}};
    answer.object.version.epoch = this->revision.epoch;
    return answer;
  }
  store::ReadAnswer Found(const store::Object& object) const {
    if (!object.version.IsSet()) return this->Missing();
    return {store::ReadStatus::kFound, object};
  }

  store::Revision NextRevision() {
    ++this->revision.number;
    return this->revision;
  }

  store::WriteAnswer Put(const store::Write& write) {
    std::vector<store::Object>& versions = this->history[write.key];
    store::Revision current;
    current.epoch = this->revision.epoch;
    if (!versions.empty()) current = versions.back().version;
    // The platform knows numbers only, also those from before its return.
    if (current.number != write.if_version.number) {
      return {store::WriteStatus::kConflict, current};
    }
    ++this->writes_applied;
    versions.push_back(store::Object{write.key, this->NextRevision(),
                                     write.writer, write.value});
    if (versions.size() > 2) versions.erase(versions.begin());
    return {store::WriteStatus::kWritten, this->revision};
  }

  std::map<store::ObjectKey, std::vector<store::Object>> history;
  std::vector<store::Write> late_writes;
  store::Revision revision;
  std::map<store::ObjectKey, std::vector<store::Object>> copied_history;
  store::Revision copied_revision;
  std::uint64_t writes_applied = 0;
};

}  // namespace toucanwharf::fakes

#endif  // TOUCANWHARF_UNITTESTS_FAKES_OBJECT_MAP_H_
