#include "toucanwharf/platform/config_service.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "toucanwharf/platform/record_inspector.h"
#include "toucanwharf/records/parse.h"
#include "toucanwharf/support/ids.h"

namespace toucanwharf::platform {
namespace {

using Json = nlohmann::json;

constexpr Duration kTick = std::chrono::milliseconds(50);
/// A waiting watch counts as one call; longer ones cost less.
constexpr Duration kWatchWait = std::chrono::seconds(20);
/// Pause after a failed read of the head or of a delta.
constexpr Duration kRetry = std::chrono::milliseconds(200);
/// Time between the holder's looks at the status objects.
constexpr Duration kStatusPeriod = std::chrono::seconds(1);
constexpr const char* kReportPrefix = "router.";

std::uint64_t NumberOf(const Json& json, const char* name) {
  const auto found = json.find(name);
  if (found == json.end() || !found->is_number_unsigned()) return 0;
  return found->get<std::uint64_t>();
}

const char* TextOf(control::RecordState state) {
  switch (state) {
    case control::RecordState::kAccepted:
      return "accepted";
    case control::RecordState::kRejected:
      return "rejected";
    case control::RecordState::kWaiting:
      return "waiting";
  }
  return "unknown";
}

/// Parses what records look like, once per loop thread.
SchemaRecordInspector& Schemas() {
  thread_local SchemaRecordInspector schemas;
  return schemas;
}

}  // namespace

ConfigService::ConfigService(transport::EventLoop& event_loop,
                             Client& platform_client, std::string instance_id,
                             const std::string& incarnation_id)
    : loop(event_loop),
      client(platform_client),
      instance(std::move(instance_id)),
      incarnation(incarnation_id),
      lease(control::LeaseSettings{"acceptance", incarnation_id}, 0),
      publisher(incarnation_id) {}

void ConfigService::Start() {
  this->FollowHead();
  this->Report();
  this->Tick();
}

void ConfigService::FollowHead() {
  const store::ObjectKey key{control::kConfigCollection, control::kHeadName};
  const auto on_read = [this](const store::ReadAnswer& answer) {
    if (answer.status == store::ReadStatus::kUnknown) {
      this->loop.After(kRetry, [this] { this->FollowHead(); });
      return;
    }
    if (answer.status == store::ReadStatus::kFound) {
      this->TakeHead(answer.object);
    }
    this->FollowWatch(this->follower.HeadVersion());
  };
  this->client.Read(key, on_read);
}

void ConfigService::FollowWatch(std::uint64_t after) {
  const auto on_events = [this, after](const WatchAnswer& answer) {
    if (answer.status == WatchStatus::kEvents) {
      this->TakeEvents(answer);
      this->FollowWatch(std::max(after, answer.reached));
      return;
    }
    this->loop.After(kRetry, [this] { this->FollowHead(); });
  };
  this->client.Watch(control::kConfigCollection, after, kWatchWait, on_events);
}

void ConfigService::TakeEvents(const WatchAnswer& answer) {
  for (const store::Event& event : answer.events) {
    const bool head = event.object.key.name == control::kHeadName;
    if (head && !event.deleted) this->follower.OnHead(event.object);
  }
  // The events carry the deltas, and save the reads of them.
  bool news = true;
  while (news) {
    news = false;
    const auto next = this->follower.NextRead();
    if (!next.has_value()) break;
    for (const store::Event& event : answer.events) {
      if (event.deleted || event.object.key != *next) continue;
      news = true;
      const store::ReadAnswer read{store::ReadStatus::kFound, event.object};
      if (this->follower.OnRead(*next, read)) this->Adopted();
      break;
    }
  }
  this->Fetch();
}

void ConfigService::TakeHead(const std::optional<store::Object>& head) {
  if (!head.has_value()) return;
  this->follower.OnHead(*head);
  this->Fetch();
}

void ConfigService::Fetch() {
  if (this->fetching) return;
  const auto next = this->follower.NextRead();
  if (!next.has_value()) return;
  this->fetching = true;
  const auto on_read = [this, key = *next](const store::ReadAnswer& answer) {
    this->fetching = false;
    if (this->follower.OnRead(key, answer)) this->Adopted();
    const bool read = answer.status == store::ReadStatus::kFound;
    this->loop.After(read ? Duration(0) : kRetry, [this] { this->Fetch(); });
  };
  this->client.Read(*next, on_read);
}

void ConfigService::Adopted() {
  this->catalog = CatalogOf(this->follower.Current());
  LOG(INFO) << "configuration generation " << this->catalog.generation
            << " in force, " << this->follower.Current().records.size()
            << " records";
  this->Report();
  if (this->on_change) this->on_change();
}

void ConfigService::Report() {
  if (this->reporting) return;
  this->reporting = true;
  const std::uint64_t generation = this->follower.Current().generation;
  const auto on_done = [this, generation](bool written) {
    this->reporting = false;
    if (written && generation == this->follower.Current().generation) return;
    this->loop.After(kRetry, [this] { this->Report(); });
  };
  const Json report{{"instance", this->instance},
                    {"generation", generation},
                    {"schemas", records::SupportedSchemas()}};
  this->client.Put({"status", kReportPrefix + this->instance},
                   this->incarnation, report.dump(), on_done);
}

std::optional<std::string> ConfigService::UpdateFor(std::uint64_t have) const {
  const auto update = this->follower.UpdateFor(have);
  if (!update.has_value()) return std::nullopt;
  return control::Encode(*update);
}

bool ConfigService::OnPeerUpdate(const std::string& text) {
  const auto update = control::DecodePeerUpdate(text);
  if (!update.has_value() || !this->follower.OnPeer(*update)) return false;
  this->Adopted();
  return true;
}

void ConfigService::Tick() {
  this->TickLease();
  if (this->HoldsLease()) {
    this->TickMirror();
    this->TickPublish();
    this->TickStatuses();
  }
  this->loop.After(kTick, [this] { this->Tick(); });
}

void ConfigService::TickLease() {
  const auto call = this->lease.Poll(this->loop.Now());
  if (!call.has_value()) return;
  if (const auto* write = std::get_if<store::Write>(&*call)) {
    const auto on_write = [this](const store::WriteAnswer& answer) {
      const bool held = this->HoldsLease();
      this->lease.OnWrite(answer, this->loop.Now());
      if (held || !this->HoldsLease()) return;
      LOG(INFO) << "lease acceptance taken, fencing number "
                << this->lease.Fence();
    };
    this->client.Write(*write, on_write);
    return;
  }
  const auto on_read = [this](const store::ReadAnswer& answer) {
    this->lease.OnRead(answer, this->loop.Now());
  };
  this->client.Read(std::get<store::ObjectKey>(*call), on_read);
}

void ConfigService::TickMirror() {
  if (this->mirror_waits) return;
  this->mirror_waits = true;
  const store::Mirror::Call call = this->records_mirror.Next();
  if (call.list) {
    const auto on_list = [this](const std::optional<store::Listing>& listing) {
      this->mirror_waits = false;
      if (listing.has_value()) this->records_mirror.OnListing(*listing);
    };
    this->client.List("records", on_list);
    return;
  }
  const auto on_events = [this, call](const WatchAnswer& answer) {
    this->mirror_waits = false;
    if (answer.status == WatchStatus::kRevisionExpired)
      this->records_mirror.OnGone();
    if (answer.status != WatchStatus::kEvents) return;
    this->records_mirror.OnEvents(call.after, answer.reached, answer.events);
  };
  this->client.Watch("records", call.after, kWatchWait, on_events);
}

control::SchemaReaders ConfigService::Readers() const {
  control::SchemaReaders readers;
  const auto own = records::SupportedSchemas();
  readers[this->instance] = {own.begin(), own.end()};
  std::vector<std::string> live;
  if (this->live_routers) live = this->live_routers();
  for (const std::string& id : live) {
    const auto report = this->reports.find(id);
    // An instance that hasn't reported yet is taken to read what this one does:
    // holding every change back for it would stop all during a replacement.
    if (report != this->reports.end()) readers[id] = report->second.schemas;
  }
  return readers;
}

void ConfigService::TickPublish() {
  const bool ready = !this->publisher.Busy() && this->records_mirror.Filled() &&
                     this->follower.UpToDate();
  if (ready) {
    const control::Config& config = this->follower.Current();
    const control::Review review =
        control::ReviewRecords(config.records, this->records_mirror.Objects(),
                               this->Readers(), Schemas());
    this->NoteStatuses(review, config.generation);
    if (!review.changes.empty()) {
      this->publisher.Start(this->follower, review.changes,
                            this->records_mirror.Revision(),
                            this->lease.Fence());
    }
  }
  const auto call = this->publisher.Poll(this->lease, this->loop.Now());
  if (call.has_value()) this->CarryPublish(*call);
}

void ConfigService::CarryPublish(const control::LeaseCall& call) {
  const auto go_on = [this] {
    const auto next = this->publisher.Poll(this->lease, this->loop.Now());
    if (next.has_value()) this->CarryPublish(*next);
  };
  if (const auto* write = std::get_if<store::Write>(&call)) {
    const auto on_write = [this, go_on](const store::WriteAnswer& answer) {
      this->TakeHead(this->publisher.OnWrite(answer));
      go_on();
    };
    this->client.Write(*write, on_write);
    return;
  }
  const auto on_read = [this, go_on](const store::ReadAnswer& answer) {
    this->TakeHead(this->publisher.OnRead(answer));
    go_on();
  };
  this->client.Read(std::get<store::ObjectKey>(call), on_read);
}

void ConfigService::NoteStatuses(const control::Review& review,
                                 std::uint64_t generation) {
  for (const auto& [name, status] : review.statuses) {
    const bool taken = review.changes.contains(name);
    this->statuses[name] = NotedStatus{status, generation + (taken ? 1 : 0)};
  }
  for (const auto& [name, object] : this->records_mirror.Objects()) {
    if (review.statuses.contains(name)) continue;
    NotedStatus& noted = this->statuses[name];
    if (noted.status.record_version == object.version) continue;
    noted.status = control::RecordStatus{};
    noted.status.record_version = object.version;
    noted.generation = generation;
  }
}

void ConfigService::TickStatuses() {
  const TimePoint now = this->loop.Now();
  if (this->statuses_wait || now < this->next_statuses) return;
  this->statuses_wait = true;
  this->next_statuses = now + kStatusPeriod;
  const auto on_list = [this](const std::optional<store::Listing>& listing) {
    this->statuses_wait = false;
    if (listing.has_value() && this->HoldsLease()) this->TakeStatuses(*listing);
  };
  this->client.List("status", on_list);
}

void ConfigService::TakeStatuses(const store::Listing& listing) {
  std::map<std::string, std::string> present;
  this->reports.clear();
  for (const store::Object& object : listing.objects) {
    const std::string& name = object.key.name;
    const Json value = Json::parse(object.value, nullptr, false);
    if (!name.starts_with(kReportPrefix)) {
      present[name] = object.value;
    } else if (value.is_object() && value.contains("schemas")) {
      RouterReport& report =
          this->reports[name.substr(std::string(kReportPrefix).size())];
      report.generation = NumberOf(value, "generation");
      for (const Json& schema : value["schemas"]) {
        if (schema.is_string()) report.schemas.insert(schema);
      }
    }
  }
  std::vector<std::string> live;
  if (this->live_routers) live = this->live_routers();
  const auto own = std::find(live.begin(), live.end(), this->instance);
  if (own == live.end()) live.push_back(this->instance);
  for (const auto& [name, noted] : this->statuses) {
    Json behind = Json::array();
    for (const std::string& id : live) {
      const auto report = this->reports.find(id);
      const bool has = report != this->reports.end() &&
                       report->second.generation >= noted.generation;
      if (!has) behind.push_back(id);
    }
    const Json status{
        {"state", TextOf(noted.status.state)},
        {"generation", noted.generation},
        {"record_version", noted.status.record_version},
        {"reasons", noted.status.reasons},
        {"in_force",
         {{"on", live.size() - behind.size()}, {"of", live.size()}}},
        {"behind", behind}};
    const std::string text = status.dump();
    const auto held = present.find(name);
    if (held != present.end() && held->second == text) continue;
    this->client.Put({"status", name}, this->incarnation, text);
  }
}

}  // namespace toucanwharf::platform
