#include "toucanwharf/control/lease.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace toucanwharf::control {
namespace {

using store::ConditionalWrite;

/// Stands for the holder in a lease object that can't be read. It is taken
/// over after a full term like that of any holder that stopped renewing.
constexpr const char* kUnreadableHolder = "unreadable";

std::string ToText(const LeaseValue& value) {
  return nlohmann::json{{"holder", value.holder}, {"fence", value.fence}}
      .dump();
}

LeaseValue FromText(const std::string& text, std::uint64_t least_fence) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  const bool whole = json.is_object() && json.contains("holder") &&
                     json["holder"].is_string() && json.contains("fence") &&
                     json["fence"].is_number_unsigned();
  if (!whole) return LeaseValue{kUnreadableHolder, least_fence};
  const std::uint64_t fence = json["fence"].get<std::uint64_t>();
  return LeaseValue{json["holder"].get<std::string>(),
                    std::max(fence, least_fence)};
}

}  // namespace

Lease::Lease(LeaseSettings lease_settings, std::uint64_t word)
    : settings(std::move(lease_settings)), random_word(word) {
  assert(this->settings.margin < this->settings.term);
  assert(this->settings.renewal < this->settings.term - this->settings.margin);
}

bool Lease::HoldsObject() const {
  return this->seen.holder == this->settings.holder;
}

store::Write Lease::MakeWrite(const LeaseValue& value) const {
  const std::string token = this->settings.holder + "-" +
                            std::to_string(this->random_word) + "-" +
                            std::to_string(this->writes);
  return store::Write{store::ObjectKey{"leases", this->settings.role}, token,
                      this->seen_version, ToText(value)};
}

std::optional<store::Write> Lease::Wanted(TimePoint now) const {
  if (!this->looked) return std::nullopt;
  const LeaseValue mine{this->settings.holder, this->seen.fence};
  if (this->released) {
    if (!this->HoldsObject()) return std::nullopt;
    return this->MakeWrite(LeaseValue{"", this->seen.fence});
  }
  if (this->HoldsObject()) {
    const Duration usable = this->settings.term - this->settings.margin;
    const TimePoint renew_at =
        this->valid_until - usable + this->settings.renewal;
    if (now < renew_at) return std::nullopt;
    return this->MakeWrite(mine);
  }
  const bool free = this->seen.holder.empty();
  const bool lapsed = now - this->seen_at >= this->settings.term;
  if (!free && !lapsed) return std::nullopt;
  return this->MakeWrite(LeaseValue{mine.holder, mine.fence + 1});
}

std::optional<LeaseCall> Lease::Poll(TimePoint now) {
  if (this->outstanding) return std::nullopt;
  if (!this->attempt.has_value()) {
    std::optional<store::Write> wanted = this->Wanted(now);
    if (wanted.has_value()) {
      const LeaseValue value = FromText(wanted->value, 0);
      this->attempt = Attempt{ConditionalWrite(std::move(*wanted)), value, now};
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
  if (this->released || now < this->next_look) return std::nullopt;
  this->outstanding = true;
  this->next_look = now + this->settings.renewal;
  return store::ObjectKey{"leases", this->settings.role};
}

void Lease::See(const store::Object& object, TimePoint now) {
  this->looked = true;
  // Stale, or nothing new: the wait of a full term goes on.
  if (object.version <= this->seen_version) return;
  this->seen = FromText(object.value, this->seen.fence);
  this->seen_version = object.version;
  this->seen_at = now;
}

void Lease::OnRead(const store::ReadAnswer& answer, TimePoint now) {
  this->outstanding = false;
  if (this->attempt.has_value()) {
    this->attempt->write.OnRead(answer);
    this->SettleAttempt(now);
    return;
  }
  if (answer.status == store::ReadStatus::kFound) {
    this->See(answer.object, now);
  }
  // Missing proves nothing once the object was seen: the read may be stale.
  if (answer.status == store::ReadStatus::kMissing) this->looked = true;
}

void Lease::OnWrite(const store::WriteAnswer& answer, TimePoint now) {
  this->outstanding = false;
  if (!this->attempt.has_value()) return;
  this->attempt->write.OnWrite(answer);
  this->SettleAttempt(now);
}

void Lease::SettleAttempt(TimePoint now) {
  const Attempt& ended = *this->attempt;
  if (ended.write.Next() == ConditionalWrite::Step::kApplied) {
    this->seen = ended.value;
    this->seen_version =
        std::max(this->seen_version, ended.write.AppliedVersion());
    this->seen_at = now;
    const bool held = this->HoldsObject() && !this->released;
    if (held) {
      // Counted from before the first try was sent: a challenger can't have
      // seen the change earlier.
      this->valid_until =
          ended.sent_at + this->settings.term - this->settings.margin;
      this->held_fence = ended.value.fence;
    }
    this->attempt.reset();
    return;
  }
  if (ended.write.Next() != ConditionalWrite::Step::kConflict) return;
  this->valid_until = std::min(this->valid_until, now);
  const std::optional<store::Object> obstacle = ended.write.ConflictingObject();
  this->attempt.reset();
  if (obstacle.has_value()) {
    this->See(*obstacle, now);
    return;
  }
  // Somebody deleted the object. The fencing number must not start again.
  this->seen = LeaseValue{"", this->seen.fence};
  this->seen_version = 0;
}

void Lease::Release() {
  this->released = true;
  this->valid_until = TimePoint{};
}

}  // namespace toucanwharf::control
