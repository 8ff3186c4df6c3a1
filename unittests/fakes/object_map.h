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
    if (found == this->history.end()) return Missing();
    const std::vector<store::Object>& versions = found->second;
    if (fault == Fault::kStale) {
      if (versions.size() < 2) return Missing();
      return Found(versions[versions.size() - 2]);
    }
    return Found(versions.back());
  }

  void Delete(const store::ObjectKey& key) {
    const auto found = this->history.find(key);
    if (found == this->history.end()) return;
    found->second.push_back(store::Object{key, ++this->revision, "", ""});
    found->second.back().version = 0;
  }

  store::Listing List(const std::string& collection) const {
    store::Listing listing{this->revision, {}};
    for (const auto& [key, versions] : this->history) {
      if (key.collection != collection) continue;
      if (versions.back().version == 0) continue;
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

 private:
  static store::ReadAnswer Missing() {
    return {store::ReadStatus::kMissing, store::Object{}};
  }
  static store::ReadAnswer Found(const store::Object& object) {
    if (object.version == 0) return Missing();
    return {store::ReadStatus::kFound, object};
  }

  store::WriteAnswer Put(const store::Write& write) {
    std::vector<store::Object>& versions = this->history[write.key];
    const std::uint64_t current =
        versions.empty() ? 0 : versions.back().version;
    if (current != write.if_version) {
      return {store::WriteStatus::kConflict, current};
    }
    ++this->writes_applied;
    versions.push_back(
        store::Object{write.key, ++this->revision, write.writer, write.value});
    if (versions.size() > 2) versions.erase(versions.begin());
    return {store::WriteStatus::kWritten, this->revision};
  }

  std::map<store::ObjectKey, std::vector<store::Object>> history;
  std::vector<store::Write> late_writes;
  std::uint64_t revision = 0;
  std::uint64_t writes_applied = 0;
};

}  // namespace toucanwharf::fakes

#endif  // TOUCANWHARF_UNITTESTS_FAKES_OBJECT_MAP_H_
