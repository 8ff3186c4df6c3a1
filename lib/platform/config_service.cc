#include "toucanwharf/platform/config_service.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "toucanwharf/platform/record_inspector.h"
#include "toucanwharf/records/parse.h"
#include "toucanwharf/support/ids.h"
#include "toucanwharf/support/json_text.h"

namespace toucanwharf::platform {
namespace {

using Json = nlohmann::json;

constexpr Duration kTickPeriod = std::chrono::milliseconds(50);
/// A watch costs one call however long it waits, so longer ones cost less.
constexpr Duration kWatchWait = std::chrono::seconds(20);
/// Pause after a failed read of the head or of a delta.
constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
/// Period at which the lease holder lists the status objects.
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

/// One inspector per loop thread, so that its cache of parsed records is
/// shared.
SchemaRecordInspector& Inspector() {
  thread_local SchemaRecordInspector inspector;
  return inspector;
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
  this->ReadHead();
  this->ReportInForce();
  this->Tick();
}

void ConfigService::ReadHead() {
  const store::ObjectKey key{control::kConfigCollection, control::kHeadName};
  const auto on_read = [this](const store::ReadAnswer& answer) {
    if (answer.status == store::ReadStatus::kUnknown) {
      this->loop.After(kRetryDelay, [this] { this->ReadHead(); });
      return;
    }
    if (answer.status == store::ReadStatus::kFound) {
      this->ApplyHead(answer.object);
    }
    this->WatchHead(this->follower.HeadVersion());
  };
  this->client.Read(key, on_read);
}

void ConfigService::WatchHead(const store::Revision& after) {
  const auto on_events = [this, after](const WatchAnswer& answer) {
    if (answer.status == WatchStatus::kEvents) {
      this->ApplyEvents(answer);
      this->WatchHead(std::max(after, answer.revision));
      return;
    }
    this->loop.After(kRetryDelay, [this] { this->ReadHead(); });
  };
  this->client.Watch(control::kConfigCollection, after, kWatchWait, on_events);
}

void ConfigService::ApplyEvents(const WatchAnswer& answer) {
  for (const store::Event& event : answer.events) {
    const bool head = event.object.key.name == control::kHeadName;
    if (head && !event.deleted) this->follower.OnHead(event.object);
  }
  // The events contain the deltas, which saves reading them.
  bool progressed = true;
  while (progressed) {
    progressed = false;
    const auto next = this->follower.NextRead();
    if (!next.has_value()) break;
    for (const store::Event& event : answer.events) {
      if (event.deleted || event.object.key != *next) continue;
      progressed = true;
      const store::ReadAnswer read{store::ReadStatus::kFound, event.object};
      if (this->follower.OnRead(*next, read)) this->OnAdopted();
      break;
    }
  }
  this->FetchNext();
}

void ConfigService::ApplyHead(const std::optional<store::Object>& head) {
  if (!head.has_value()) return;
  this->follower.OnHead(*head);
  this->FetchNext();
}

void ConfigService::FetchNext() {
  if (this->read_in_flight) return;
  const auto next = this->follower.NextRead();
  if (!next.has_value()) return;
  this->read_in_flight = true;
  const auto on_read = [this, key = *next](const store::ReadAnswer& answer) {
    this->read_in_flight = false;
    if (this->follower.OnRead(key, answer)) this->OnAdopted();
    const bool read = answer.status == store::ReadStatus::kFound;
    this->loop.After(read ? Duration(0) : kRetryDelay,
                     [this] { this->FetchNext(); });
  };
  this->client.Read(*next, on_read);
}

void ConfigService::OnAdopted() {
  this->catalog = CatalogOf(this->follower.Current());
  LOG(INFO) << "configuration generation " << this->catalog.generation
            << " in force, " << this->follower.Current().records.size()
            << " records";
  this->ReportInForce();
  if (this->on_change) this->on_change();
}

void ConfigService::ReportInForce() {
  if (this->report_in_flight) return;
  this->report_in_flight = true;
  const std::uint64_t generation = this->follower.Current().generation;
  const auto on_done = [this, generation](bool written) {
    this->report_in_flight = false;
    if (written && generation == this->follower.Current().generation) return;
    this->loop.After(kRetryDelay, [this] { this->ReportInForce(); });
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
  this->OnAdopted();
  return true;
}

void ConfigService::Tick() {
  this->TickLease();
  if (this->HoldsLease()) {
    this->TickMirror();
    this->TickPublish();
    this->TickStatuses();
  }
  this->loop.After(kTickPeriod, [this] { this->Tick(); });
}

void ConfigService::TickLease() {
  const auto call = this->lease.Poll(this->loop.Now());
  if (!call.has_value()) return;
  if (const auto* write = std::get_if<store::Write>(&*call)) {
    const auto on_write = [this](const store::WriteAnswer& answer) {
      const bool held_before = this->HoldsLease();
      this->lease.OnWrite(answer, this->loop.Now());
      if (held_before || !this->HoldsLease()) return;
      LOG(INFO) << "acquired lease acceptance, fencing number "
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
  if (this->mirror_call_in_flight) return;
  this->mirror_call_in_flight = true;
  const store::Mirror::Call call = this->records_mirror.Next();
  if (call.list) {
    const auto on_list = [this](const std::optional<store::Listing>& listing) {
      this->mirror_call_in_flight = false;
      if (listing.has_value()) this->records_mirror.OnListing(*listing);
    };
    this->client.List("records", on_list);
    return;
  }
  const auto on_events = [this, call](const WatchAnswer& answer) {
    this->mirror_call_in_flight = false;
    if (answer.status == WatchStatus::kRevisionExpired) {
      this->records_mirror.OnGone();
    }
    if (answer.status != WatchStatus::kEvents) return;
    this->records_mirror.OnEvents(call.after, answer.revision, answer.events);
  };
  this->client.Watch("records", call.after, kWatchWait, on_events);
}

control::SchemaReaders ConfigService::Readers() const {
  control::SchemaReaders readers;
  const auto own_schemas = records::SupportedSchemas();
  readers[this->instance] = {own_schemas.begin(), own_schemas.end()};
  std::vector<std::string> live;
  if (this->live_routers) live = this->live_routers();
  for (const std::string& id : live) {
    const auto report = this->reports.find(id);
    // An instance that hasn't reported yet is assumed to read the same schemas
    // as this one: waiting for it would block every change during a
    // replacement.
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
                               this->Readers(), Inspector());
    this->RecordStatuses(review, config.generation);
    if (!review.changes.empty()) {
      this->publisher.Start(this->follower, review.changes,
                            this->records_mirror.Revision().number,
                            this->lease.Fence());
    }
  }
  const auto call = this->publisher.Poll(this->lease, this->loop.Now());
  if (call.has_value()) this->PerformPublishCall(*call);
}

void ConfigService::PerformPublishCall(const control::LeaseCall& call) {
  const auto poll_again = [this] {
    const auto next = this->publisher.Poll(this->lease, this->loop.Now());
    if (next.has_value()) this->PerformPublishCall(*next);
  };
  if (const auto* write = std::get_if<store::Write>(&call)) {
    const auto on_write = [this, poll_again](const store::WriteAnswer& answer) {
      this->ApplyHead(this->publisher.OnWrite(answer));
      poll_again();
    };
    this->client.Write(*write, on_write);
    return;
  }
  const auto on_read = [this, poll_again](const store::ReadAnswer& answer) {
    this->ApplyHead(this->publisher.OnRead(answer));
    poll_again();
  };
  this->client.Read(std::get<store::ObjectKey>(call), on_read);
}

void ConfigService::RecordStatuses(const control::Review& review,
                                   std::uint64_t generation) {
  for (const auto& [name, status] : review.statuses) {
    const bool changed = review.changes.contains(name);
    this->statuses[name] =
        RecordedStatus{status, generation + (changed ? 1 : 0)};
  }
  for (const auto& [name, object] : this->records_mirror.Objects()) {
    if (review.statuses.contains(name)) continue;
    RecordedStatus& recorded = this->statuses[name];
    if (recorded.status.record_version == object.version.number) continue;
    recorded.status = control::RecordStatus{};
    recorded.status.record_version = object.version.number;
    recorded.generation = generation;
  }
}

void ConfigService::TickStatuses() {
  const TimePoint now = this->loop.Now();
  if (this->status_list_in_flight || now < this->next_status_time) return;
  this->status_list_in_flight = true;
  this->next_status_time = now + kStatusPeriod;
  const auto on_list = [this](const std::optional<store::Listing>& listing) {
    this->status_list_in_flight = false;
    if (listing.has_value() && this->HoldsLease()) this->OnStatuses(*listing);
  };
  this->client.List("status", on_list);
}

void ConfigService::OnStatuses(const store::Listing& listing) {
  std::map<std::string, std::string> present;
  this->reports.clear();
  for (const store::Object& object : listing.objects) {
    const std::string& name = object.key.name;
    const Json value = ParseJson(object.value);
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
  const auto self = std::find(live.begin(), live.end(), this->instance);
  if (self == live.end()) live.push_back(this->instance);
  for (const auto& [name, recorded] : this->statuses) {
    Json behind = Json::array();
    for (const std::string& id : live) {
      const auto report = this->reports.find(id);
      const bool up_to_date = report != this->reports.end() &&
                              report->second.generation >= recorded.generation;
      if (!up_to_date) behind.push_back(id);
    }
    const Json status{
        {"state", TextOf(recorded.status.state)},
        {"generation", recorded.generation},
        {"record_version", recorded.status.record_version},
        {"reasons", recorded.status.reasons},
        {"in_force",
         {{"on", live.size() - behind.size()}, {"of", live.size()}}},
        {"behind", behind}};
    const std::string text = status.dump();
    const auto existing = present.find(name);
    if (existing != present.end() && existing->second == text) continue;
    this->client.Put({"status", name}, this->incarnation, text);
  }
}

}  // namespace toucanwharf::platform
