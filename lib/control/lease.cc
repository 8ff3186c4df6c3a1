#include "toucanwharf/control/lease.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace toucanwharf::control {
namespace {

using store::ConditionalWrite;

/// Holder name for a lease object that can't be decoded. Such a lease is taken
/// over after a full term, as from any holder that stopped renewing.
constexpr const char* kUnreadableHolder = "unreadable";

std::string ToText(const LeaseValue& value) {
  return nlohmann::json{{"holder", value.holder}, {"fence", value.fence}}
      .dump();
}

LeaseValue FromText(const std::string& text, std::uint64_t min_fence) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  const bool valid = json.is_object() && json.contains("holder") &&
                     json["holder"].is_string() && json.contains("fence") &&
                     json["fence"].is_number_unsigned();
  if (!valid) return LeaseValue{kUnreadableHolder, min_fence};
  const std::uint64_t fence = json["fence"].get<std::uint64_t>();
  return LeaseValue{json["holder"].get<std::string>(),
                    std::max(fence, min_fence)};
}

}  // namespace

Lease::Lease(LeaseSettings lease_settings, std::uint64_t random)
    : settings(std::move(lease_settings)), random_word(random) {
  assert(this->settings.margin < this->settings.term);
  assert(this->settings.renewal < this->settings.term - this->settings.margin);
}

bool Lease::HoldsObject() const {
  return this->observed.holder == this->settings.holder;
}

store::Write Lease::MakeWrite(const LeaseValue& value) const {
  const std::string token = this->settings.holder + "-" +
                            std::to_string(this->random_word) + "-" +
                            std::to_string(this->writes);
  return store::Write{store::ObjectKey{"leases", this->settings.role}, token,
                      this->observed_version, ToText(value)};
}

std::optional<store::Write> Lease::NextWrite(TimePoint now) const {
  if (!this->object_was_read) return std::nullopt;
  const LeaseValue own_value{this->settings.holder, this->observed.fence};
  if (this->released) {
    if (!this->HoldsObject()) return std::nullopt;
    return this->MakeWrite(LeaseValue{"", this->observed.fence});
  }
  if (this->HoldsObject()) {
    const Duration usable = this->settings.term - this->settings.margin;
    const TimePoint renew_at =
        this->valid_until - usable + this->settings.renewal;
    if (now < renew_at) return std::nullopt;
    return this->MakeWrite(own_value);
  }
  const bool is_released = this->observed.holder.empty();
  const bool expired = now - this->observed_at >= this->settings.term;
  if (!is_released && !expired) return std::nullopt;
  return this->MakeWrite(LeaseValue{own_value.holder, own_value.fence + 1});
}

std::optional<LeaseCall> Lease::Poll(TimePoint now) {
  if (this->outstanding) return std::nullopt;
  if (!this->attempt.has_value()) {
    std::optional<store::Write> next_write = this->NextWrite(now);
    if (next_write.has_value()) {
      const LeaseValue value = FromText(next_write->value, 0);
      this->attempt =
          Attempt{ConditionalWrite(std::move(*next_write)), value, now};
      ++this->writes;
    }
  }
  if (this->attempt.has_value()) {
    this->outstanding = true;
    const store::Write& write = this->attempt->write.Request();
    if (this->attempt->write.Next() == ConditionalWrite::Step::kRead) {
      return write.key;
    }
    return write;
  }
  if (this->released || now < this->next_read_at) return std::nullopt;
  this->outstanding = true;
  this->next_read_at = now + this->settings.renewal;
  return store::ObjectKey{"leases", this->settings.role};
}

void Lease::Observe(const store::Object& object, TimePoint now) {
  this->object_was_read = true;
  // Stale or unchanged: the wait for a full term continues.
  if (object.version <= this->observed_version) return;
  this->observed = FromText(object.value, this->observed.fence);
  this->observed_version = object.version;
  this->observed_at = now;
}

void Lease::OnRead(const store::ReadAnswer& answer, TimePoint now) {
  this->outstanding = false;
  if (this->attempt.has_value()) {
    this->attempt->write.OnRead(answer);
    this->SettleAttempt(now);
    return;
  }
  if (answer.status == store::ReadStatus::kFound) {
    this->Observe(answer.object, now);
  }
  // A missing object proves nothing once it was observed: the read may be
  // stale.
  if (answer.status == store::ReadStatus::kMissing) {
    this->object_was_read = true;
  }
}

void Lease::OnWrite(const store::WriteAnswer& answer, TimePoint now) {
  this->outstanding = false;
  if (!this->attempt.has_value()) return;
  this->attempt->write.OnWrite(answer);
  this->SettleAttempt(now);
}

void Lease::SettleAttempt(TimePoint now) {
  const Attempt& completed = *this->attempt;
  if (completed.write.Next() == ConditionalWrite::Step::kApplied) {
    this->observed = completed.value;
    this->observed_version =
        std::max(this->observed_version, completed.write.AppliedVersion());
    this->observed_at = now;
    const bool held = this->HoldsObject() && !this->released;
    if (held) {
      // Counts from before the first attempt was sent: a challenger can't have
      // seen the change earlier.
      this->valid_until =
          completed.sent_at + this->settings.term - this->settings.margin;
      this->held_fence = completed.value.fence;
    }
    this->attempt.reset();
    return;
  }
  if (completed.write.Next() != ConditionalWrite::Step::kConflict) return;
  this->valid_until = std::min(this->valid_until, now);
  const std::optional<store::Object> conflicting_object =
      completed.write.ConflictingObject();
  this->attempt.reset();
  if (conflicting_object.has_value()) {
    this->Observe(*conflicting_object, now);
    return;
  }
  // The object was deleted. The fencing number must not start again.
  this->observed = LeaseValue{"", this->observed.fence};
  this->observed_version = {};
}

void Lease::Release() {
  this->released = true;
  this->valid_until = TimePoint{};
}

}  // namespace toucanwharf::control
