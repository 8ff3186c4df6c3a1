#include "toucanwharf/instance/configuration_in_force.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace toucanwharf::instance {
namespace {

/// The operator writes again what was lost in one go, version after version,
/// and has finished if nothing more comes for this long.
constexpr Duration kRewriteQuiet = std::chrono::milliseconds(500);

}  // namespace

using eventlog::Fields;
using eventlog::Level;
using gossip::ConfigurationId;

void ConfigurationInForce::Adopt(const store::Revision& revision,
                                 const std::string& text, TimePoint now) {
  const store::Revision& in_force = this->state.configuration.revision;
  // An answer that arrives after a newer one.
  const bool outdated =
      revision.epoch == in_force.epoch && revision <= in_force;
  const bool dropped = revision == this->unreadable || revision == this->older;
  if (outdated || dropped) return;
  auto read = this->parse(text);
  Fields fields;
  fields.Count("revision", static_cast<std::int64_t>(revision.number))
      .Count("epoch", static_cast<std::int64_t>(revision.epoch));
  if (!read) {
    this->unreadable = revision;
    this->logger.Write(Level::kNotable, "configuration_unreadable", fields,
                       now);
    return;
  }
  const ConfigurationId newest{read->version, revision};
  const bool has_same = newest.version == this->state.configuration.version;
  const bool newer =
      !this->state.route_table || newest.IsNewerThan(this->state.configuration);
  if (has_same && !newer) {
    // The same as before the store's return.
    this->state.configuration.revision = std::max(in_force, revision);
    return;
  }
  if (!newer) {
    this->older = revision;
    this->LogKept(revision, newest.version, now);
    return;
  }
  fields.Count("version", static_cast<std::int64_t>(newest.version));
  this->state.route_table =
      std::make_shared<const routes::RouteTable>(std::move(*read));
  this->state.configuration = newest;
  this->state.configuration_text = text;
  this->logger.Write(Level::kNotable, "configuration_in_force", fields, now);
  this->changed();
}

void ConfigurationInForce::LogKept(const store::Revision& revision,
                                   std::uint64_t version, TimePoint now) {
  this->logger.Write(
      Level::kNotable, "configuration_kept",
      Fields()
          .Count("revision", static_cast<std::int64_t>(revision.number))
          .Count("epoch", static_cast<std::int64_t>(revision.epoch))
          .Count("version", static_cast<std::int64_t>(version))
          .Count("in_force",
                 static_cast<std::int64_t>(this->state.configuration.version)),
      now);
}

bool ConfigurationInForce::IsWrittenInEpoch() const {
  const ConfigurationId& in_force = this->state.configuration;
  const ConfigurationId& before = this->before_epoch;
  if (in_force.revision > this->first_in_epoch) return true;
  const bool is_next_epoch =
      in_force.revision.epoch == before.revision.epoch + 1;
  if (!is_next_epoch) return false;
  // A copy has an object with the number that it had before: the same version
  // has the same, and a later one a higher number.
  if (in_force.version == before.version) {
    return in_force.revision.number != before.revision.number;
  }
  return in_force.revision.number <= before.revision.number;
}

bool ConfigurationInForce::IsSettled(TimePoint begun) {
  if (this->state.epochs.IsSettled(begun)) return true;
  const store::Revision& revision = this->state.configuration.revision;
  if (!this->IsWrittenInEpoch()) return false;
  if (std::exchange(this->written, revision) != revision) {
    this->written_seen_at = begun;
  }
  return begun - this->written_seen_at >= kRewriteQuiet;
}

void ConfigurationInForce::OnRead(const store::Object& object, TimePoint begun,
                                  TimePoint now) {
  if (object.version.epoch > this->first_in_epoch.epoch) {
    this->first_in_epoch = object.version;
    this->before_epoch = this->state.configuration;
  }
  this->Adopt(object.version, object.value, now);
  const bool in_force = this->state.configuration.revision == object.version;
  const bool confirms = in_force ? this->IsSettled(begun)
                                 : object.version == this->older &&
                                       this->state.epochs.IsSettled(begun);
  if (confirms) this->state.freshness.Confirm(begun);
}

}  // namespace toucanwharf::instance
