#include "toucanwharf/command/platform.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "toucanwharf/command/errors.h"
#include "toucanwharf/command/http.h"
#include "toucanwharf/store/conditional_write.h"
#include "toucanwharf/support/ids.h"
#include "toucanwharf/support/json.h"

namespace toucanwharf::command {
namespace {

using nlohmann::json;
using store::ConditionalWrite;
using store::ObjectKey;
using transport::CallEnd;
using transport::HttpOutcome;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr Duration kCallTimeout = std::chrono::seconds(2);
constexpr Duration kInitialBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(1);

/// Sleeps between attempts, with exponential backoff, until the timeout.
class RetryBackoff {
 public:
  explicit RetryBackoff(Duration timeout)
      : deadline(BootClock().Now() + timeout), backoff(kInitialBackoff) {}

  /// Sleeps before the next attempt; returns false if no time is left for one.
  bool Wait() {
    if (BootClock().Now() + this->backoff >= this->deadline) return false;
    std::this_thread::sleep_for(this->backoff);
    this->backoff = std::min(2 * this->backoff, kMaxBackoff);
    return true;
  }

 private:
  TimePoint deadline;
  Duration backoff;
};

bool Answered(const HttpOutcome& outcome, int status) {
  return outcome.end == CallEnd::kAnswered && outcome.status == status;
}

std::string TargetOf(const ObjectKey& key) {
  return "/objects/" + key.collection + "/" + key.name;
}

store::Revision VersionOf(const std::string& body) {
  const json value = json::parse(body, nullptr, false);
  return {0, value.is_object() ? CountMemberOrZero(value, "version") : 0};
}

store::Object ObjectOf(const json& value) {
  store::Object object;
  object.key = {TextMember(value, "collection"), TextMember(value, "name")};
  object.version.number = CountMemberOrZero(value, "version");
  object.writer = TextMember(value, "writer");
  if (value.contains("value")) object.value = value["value"].dump();
  return object;
}

}  // namespace

Platform::Platform(std::string platform_address, Duration method_timeout)
    : address(std::move(platform_address)), timeout(method_timeout) {}

Result<store::Listing> Platform::List(const std::string& collection) const {
  RetryBackoff retry_backoff(this->timeout);
  do {
    auto call = MakeCall("GET", this->address, "/objects/" + collection, "");
    call.total_timeout = kCallTimeout;
    const HttpOutcome outcome = Fetch(std::move(call));
    if (!Answered(outcome, kOk)) continue;
    const json body = json::parse(outcome.body, nullptr, false);
    if (!body.is_object() || !body.contains("items")) continue;
    store::Listing listing;
    listing.revision.number = CountMemberOrZero(body, "revision");
    for (const json& item : body["items"]) {
      listing.objects.push_back(ObjectOf(item));
    }
    return listing;
  } while (retry_backoff.Wait());
  return CommandError::kUnreachable;
}

store::ReadAnswer Platform::AttemptRead(const ObjectKey& key) const {
  auto call = MakeCall("GET", this->address, TargetOf(key), "");
  call.total_timeout = kCallTimeout;
  const HttpOutcome outcome = Fetch(std::move(call));
  if (Answered(outcome, kNotFound)) return {store::ReadStatus::kMissing, {}};
  if (!Answered(outcome, kOk)) return {};
  const json body = json::parse(outcome.body, nullptr, false);
  if (!body.is_object()) return {};
  return {store::ReadStatus::kFound, ObjectOf(body)};
}

store::WriteAnswer Platform::AttemptWrite(const store::Write& write) const {
  auto call = MakeCall("PUT", this->address, TargetOf(write.key), "");
  call.total_timeout = kCallTimeout;
  call.reuse = transport::Reuse::kNever;
  call.body = json{{"writer", write.writer},
                   {"value", json::parse(write.value)},
                   {"if_version", write.if_version.number}}
                  .dump();
  const HttpOutcome outcome = Fetch(std::move(call));
  if (Answered(outcome, kOk)) {
    return {store::WriteStatus::kWritten, VersionOf(outcome.body)};
  }
  if (Answered(outcome, kConflict)) {
    return {store::WriteStatus::kConflict, VersionOf(outcome.body)};
  }
  return {};
}

Result<store::Object> Platform::Read(const ObjectKey& key) const {
  RetryBackoff retry_backoff(this->timeout);
  do {
    store::ReadAnswer answer = this->AttemptRead(key);
    if (answer.status == store::ReadStatus::kFound) {
      return std::move(answer.object);
    }
    if (answer.status == store::ReadStatus::kMissing) {
      return CommandError::kNotFound;
    }
  } while (retry_backoff.Wait());
  return CommandError::kUnreachable;
}

Result<std::uint64_t> Platform::Write(const ObjectKey& key, const json& value,
                                      std::uint64_t if_version) const {
  ConditionalWrite write(
      store::Write{key, NewId(), {0, if_version}, value.dump()});
  RetryBackoff retry_backoff(this->timeout);
  do {
    if (write.Next() == ConditionalWrite::Step::kWrite) {
      write.OnWrite(this->AttemptWrite(write.Request()));
    }
    if (write.Next() == ConditionalWrite::Step::kRead) {
      write.OnRead(this->AttemptRead(key));
    }
    if (write.Next() == ConditionalWrite::Step::kApplied) {
      return write.AppliedVersion().number;
    }
    if (write.Next() == ConditionalWrite::Step::kConflict) {
      return CommandError::kConflict;
    }
  } while (retry_backoff.Wait());
  return CommandError::kOutcomeUnknown;
}

Result<void> Platform::Delete(const ObjectKey& key,
                              std::uint64_t if_version) const {
  const std::string target =
      TargetOf(key) + "?if_version=" + std::to_string(if_version);
  RetryBackoff retry_backoff(this->timeout);
  do {
    auto call = MakeCall("DELETE", this->address, target, "");
    call.total_timeout = kCallTimeout;
    call.reuse = transport::Reuse::kNever;
    const HttpOutcome outcome = Fetch(std::move(call));
    if (Answered(outcome, kOk) || Answered(outcome, kNotFound)) {
      return Success();
    }
    if (Answered(outcome, kConflict)) return CommandError::kConflict;
    // No answer: the next attempt finds out. If this one took effect, the next
    // finds no object, or the version of a later writer.
  } while (retry_backoff.Wait());
  return CommandError::kOutcomeUnknown;
}

Result<std::vector<std::string>> Platform::AdminAddresses() const {
  RetryBackoff retry_backoff(this->timeout);
  do {
    auto call = MakeCall("GET", this->address, "/instances", "");
    call.total_timeout = kCallTimeout;
    const HttpOutcome outcome = Fetch(std::move(call));
    if (!Answered(outcome, kOk)) continue;
    const json body = json::parse(outcome.body, nullptr, false);
    if (!body.is_object() || !body.contains("instances")) continue;
    std::vector<std::string> addresses;
    for (const json& instance : body["instances"]) {
      const std::string admin = TextMember(instance, "admin_address");
      if (!admin.empty()) addresses.push_back(admin);
    }
    return addresses;
  } while (retry_backoff.Wait());
  return CommandError::kUnreachable;
}

}  // namespace toucanwharf::command
