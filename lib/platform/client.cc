#include "toucanwharf/platform/client.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "toucanwharf/support/json.h"
#include "toucanwharf/support/json_text.h"

namespace toucanwharf::platform {
namespace {

using Json = nlohmann::json;
using transport::CallEnd;
using transport::HttpCall;
using transport::HttpOutcome;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
/// The platform responds within milliseconds. A call without a response for
/// this long ends as unknown; its caller repeats it or reads the object back.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
/// Maximum wait for the call budget before a call ends as unknown.
constexpr Duration kMaxLimiterWait = std::chrono::milliseconds(1000);
constexpr Duration kLimiterPollPeriod = std::chrono::milliseconds(10);

Json Body(const HttpOutcome& outcome) {
  if (outcome.end != CallEnd::kAnswered) return Json();
  return ParseJson(outcome.body);
}

store::Object ToObject(const Json& json) {
  store::Object object;
  object.key = {TextMember(json, "collection"), TextMember(json, "name")};
  object.version.number = CountMemberOrZero(json, "version");
  object.writer = TextMember(json, "writer");
  if (json.contains("value")) object.value = json["value"].dump();
  return object;
}

store::ReadAnswer ToReadAnswer(const HttpOutcome& outcome) {
  if (outcome.end != CallEnd::kAnswered) return {};
  if (outcome.status == kNotFound) return {store::ReadStatus::kMissing, {}};
  const Json body = Body(outcome);
  if (outcome.status != kOk || !body.is_object()) return {};
  return {store::ReadStatus::kFound, ToObject(body)};
}

store::WriteAnswer ToWriteAnswer(const HttpOutcome& outcome) {
  const Json body = Body(outcome);
  if (!body.is_object()) return {};
  const store::Revision version{0, CountMemberOrZero(body, "version")};
  if (outcome.status == kOk) return {store::WriteStatus::kWritten, version};
  if (outcome.status != kConflict) return {};
  return {store::WriteStatus::kConflict, version};
}

WatchAnswer ToWatchAnswer(const HttpOutcome& outcome) {
  WatchAnswer answer;
  if (outcome.end != CallEnd::kAnswered) return answer;
  if (outcome.status == kGone) {
    answer.status = WatchStatus::kRevisionExpired;
    return answer;
  }
  const Json body = Body(outcome);
  const bool valid = outcome.status == kOk && body.is_object() &&
                     body.contains("events") && body["events"].is_array();
  if (!valid) return answer;
  answer.status = WatchStatus::kEvents;
  answer.revision.number = CountMemberOrZero(body, "revision");
  for (const Json& event : body["events"]) {
    if (!event.is_object() || !event.contains("object")) continue;
    answer.events.push_back(store::Event{TextMember(event, "type") == "delete",
                                         ToObject(event["object"])});
  }
  return answer;
}

std::optional<store::Listing> ToListing(const HttpOutcome& outcome) {
  const Json body = Body(outcome);
  const bool valid = outcome.status == kOk && body.is_object() &&
                     body.contains("items") && body["items"].is_array();
  if (!valid) return std::nullopt;
  store::Listing listing{{0, CountMemberOrZero(body, "revision")}, {}};
  for (const Json& item : body["items"]) {
    if (item.is_object()) listing.objects.push_back(ToObject(item));
  }
  return listing;
}

std::string Path(const store::ObjectKey& key) {
  return "/objects/" + key.collection + "/" + key.name;
}

HttpCall MakePut(const store::ObjectKey& key, const std::string& writer,
                 const std::string& value, const std::string& condition) {
  HttpCall call;
  call.method = "PUT";
  call.url = Path(key);
  call.headers.emplace_back("Content-Type", "application/json");
  call.body = "{\"writer\":" + Json(writer).dump() + condition +
              ",\"value\":" + value + "}";
  return call;
}

}  // namespace

Client::Client(transport::EventLoop& event_loop,
               transport::HttpClient& http_client, std::string platform_address,
               std::uint64_t seed)
    : loop(event_loop),
      http(http_client),
      address(std::move(platform_address)),
      call_limiter(store::CallLimits{}, Random(seed)),
      watch_limiter(store::CallLimits{}, Random(MixBits(seed))) {}

void Client::StartWhenAllowed(HttpCall call, store::CallLimiter& limiter,
                              Done done, TimePoint deadline) {
  const TimePoint now = this->loop.Now();
  if (!limiter.TryAcquire(now)) {
    if (now >= deadline) {
      done(HttpOutcome{});
      return;
    }
    auto retry = [this, call = std::move(call), &limiter,
                  done = std::move(done), deadline]() mutable {
      this->StartWhenAllowed(std::move(call), limiter, std::move(done),
                             deadline);
    };
    this->loop.After(kLimiterPollPeriod, std::move(retry));
    return;
  }
  ++this->calls;
  const auto on_done = [this, &limiter,
                        done = std::move(done)](const HttpOutcome& outcome) {
    const bool answered =
        outcome.end == CallEnd::kAnswered && outcome.status != kUnavailable;
    if (answered) {
      limiter.OnSuccess();
    } else {
      limiter.OnFailure(this->loop.Now());
    }
    done(outcome);
  };
  this->http.Start(std::move(call), {nullptr, on_done});
}

void Client::Start(HttpCall call, store::CallLimiter& limiter, Done done) {
  call.url = "http://" + this->address + call.url;
  const TimePoint deadline = this->loop.Now() + kMaxLimiterWait;
  auto enter = [this, call = std::move(call), &limiter, done = std::move(done),
                deadline]() mutable {
    this->StartWhenAllowed(std::move(call), limiter, std::move(done), deadline);
  };
  this->loop.Post(std::move(enter));
}

void Client::Read(const store::ObjectKey& key,
                  std::function<void(store::ReadAnswer)> done) {
  HttpCall call;
  call.url = Path(key);
  call.total_timeout = kCallTimeout;
  this->Start(std::move(call), this->call_limiter,
              [done = std::move(done)](const HttpOutcome& outcome) {
                done(ToReadAnswer(outcome));
              });
}

void Client::Write(const store::Write& write,
                   std::function<void(store::WriteAnswer)> done) {
  const std::string condition =
      ",\"if_version\":" + std::to_string(write.if_version.number);
  HttpCall call = MakePut(write.key, write.writer, write.value, condition);
  call.total_timeout = kCallTimeout;
  this->Start(std::move(call), this->call_limiter,
              [done = std::move(done)](const HttpOutcome& outcome) {
                done(ToWriteAnswer(outcome));
              });
}

void Client::Put(const store::ObjectKey& key, const std::string& writer,
                 const std::string& value, std::function<void(bool)> done) {
  HttpCall call = MakePut(key, writer, value, "");
  call.total_timeout = kCallTimeout;
  this->Start(std::move(call), this->call_limiter,
              [done = std::move(done)](const HttpOutcome& outcome) {
                if (done) done(outcome.status == kOk);
              });
}

void Client::List(const std::string& collection,
                  std::function<void(std::optional<store::Listing>)> done) {
  HttpCall call;
  call.url = "/objects/" + collection;
  call.total_timeout = kCallTimeout;
  this->Start(std::move(call), this->call_limiter,
              [done = std::move(done)](const HttpOutcome& outcome) {
                done(ToListing(outcome));
              });
}

void Client::Watch(const std::string& collection, const store::Revision& after,
                   Duration wait, std::function<void(WatchAnswer)> done) {
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  HttpCall call;
  call.url = "/watch/" + collection + "?after=" + std::to_string(after.number) +
             "&wait_ms=" + std::to_string(millis);
  call.total_timeout = wait + kCallTimeout;
  this->Start(std::move(call), this->watch_limiter,
              [done = std::move(done)](const HttpOutcome& outcome) {
                done(ToWatchAnswer(outcome));
              });
}

}  // namespace toucanwharf::platform
