#include "toucanwharf/control/lease.h"

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

#include "toucanwharf/support/json_text.h"

namespace toucanwharf::control {
namespace {

using store::ConditionalWrite;

/// Holder name for a lease object that can't be decoded. Such a lease is taken
/// over after a full term, as from any holder that stopped renewing.
constexpr const char* kUnreadableHolder = "unreadable";
/// Fencing numbers of an epoch of the store begin at its multiple of this. No
/// epoch has as many revisions.
constexpr std::uint64_t kFencesPerEpoch = 1'000'000'000'000;

std::string ToText(const LeaseValue& value) {
  nlohmann::json json{{"holder", value.holder}, {"fence", value.fence}};
  if (!value.node.empty()) json["node"] = value.node;
  return json.dump();
}

/// Returns the node in \p json, empty in a lease of a build that names none.
std::string NodeIn(const nlohmann::json& json) {
  const auto found = json.find("node");
  const bool named = found != json.end() && found->is_string();
  return named ? found->get<std::string>() : std::string();
}

/// Holder name for a lease object of an earlier term: the store's copy has it,
/// or a write of before the store's return took effect after it. Nobody holds
/// the role by it, but who held it before may still.
constexpr const char* kOutdatedHolder = "outdated";

/// Returns the value in \p text; an unreadable one has the given fence.
LeaseValue FromText(const std::string& text,
                    std::uint64_t fence_if_unreadable) {
  const auto json = ParseJson(text);
  const bool valid = json.is_object() && json.contains("holder") &&
                     json["holder"].is_string() && json.contains("fence") &&
                     json["fence"].is_number_unsigned();
  if (!valid) return LeaseValue{kUnreadableHolder, fence_if_unreadable, ""};
  return LeaseValue{json["holder"].get<std::string>(),
                    json["fence"].get<std::uint64_t>(), NodeIn(json)};
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

bool Lease::HolderHasEnded() const {
  const bool has_returned = this->epoch.value_or(0) != 0;
  return !has_returned && !this->settings.node.empty() &&
         this->observed.node == this->settings.node && !this->HoldsObject();
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
  const LeaseValue own_value{this->settings.holder, this->observed.fence,
                             this->settings.node};
  if (this->released) {
    if (!this->HoldsObject()) return std::nullopt;
    return this->MakeWrite(LeaseValue{"", this->observed.fence, ""});
  }
  const bool must_wait = !this->MayAct(now) && now < this->takeover_at;
  if (must_wait) return std::nullopt;
  const bool in_earlier_epoch = this->held_epoch != this->epoch.value_or(0);
  // After the store's return its object may be that of a term long over, which
  // others have held since.
  const bool outdated =
      this->HoldsObject() && in_earlier_epoch && !this->MayAct(now);
  if (this->HoldsObject() && !outdated) {
    const Duration usable = this->settings.term - this->settings.margin;
    const TimePoint renew_at =
        this->valid_until - usable + this->settings.renewal;
    if (now < renew_at) return std::nullopt;
    return this->MakeWrite(own_value);
  }
  const bool is_released = this->observed.holder.empty();
  const bool expired =
      now - this->observed_at >= this->settings.term || this->HolderHasEnded();
  // The holder's object was lost with the store's last changes.
  const bool resumes = in_earlier_epoch && this->MayAct(now);
  if (!is_released && !expired && !resumes && !outdated) return std::nullopt;
  return this->MakeWrite(
      LeaseValue{own_value.holder, this->NextFence(), own_value.node});
}

std::uint64_t Lease::NextFence() const {
  const std::uint64_t newest = std::max(this->observed.fence, this->held_fence);
  const std::uint64_t store_epoch = this->epoch.value_or(0);
  if (store_epoch == 0) return newest + 1;
  // The object's revisions rise within an epoch, also if a write of before the
  // store's return has replaced the object with its number.
  return std::max(newest + 1, store_epoch * kFencesPerEpoch +
                                  this->observed_version.number);
}

void Lease::OnEpoch(std::uint64_t newest, TimePoint now) {
  const bool first = !this->epoch;
  if (!first && newest <= *this->epoch) return;
  this->epoch = newest;
  if (first) return;
  // Nobody else can have taken over while this process holds the role.
  if (!this->MayAct(now)) this->takeover_at = now + this->settings.term;
  this->object_was_read = false;
  this->next_read_at = now;
}

std::optional<LeaseCall> Lease::Poll(TimePoint now) {
  if (this->outstanding) return std::nullopt;
  if (!this->attempt.has_value()) {
    std::optional<store::Write> next_write = this->NextWrite(now);
    if (next_write.has_value()) {
      const LeaseValue value = FromText(next_write->value, 0);
      this->attempt = Attempt{ConditionalWrite(std::move(*next_write)), value,
                              now, this->epoch.value_or(0)};
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
  LeaseValue value = FromText(object.value, this->observed.fence);
  if (value.fence < this->observed.fence) {
    value = LeaseValue{kOutdatedHolder, this->observed.fence, ""};
  }
  this->observed = std::move(value);
  this->observed_version = object.version;
  this->observed_at = now;
}

void Lease::ObserveMissing(std::uint64_t answer_epoch) {
  this->object_was_read = true;
  // A missing object proves nothing once it was observed in the same epoch: the
  // read may be stale.
  const bool lost = this->observed_version.IsSet() &&
                    this->observed_version.epoch < answer_epoch;
  if (!lost) return;
  this->observed = LeaseValue{"", this->observed.fence, ""};
  this->observed_version = {};
}

void Lease::OnRead(const store::ReadAnswer& answer, TimePoint now) {
  this->outstanding = false;
  if (answer.status != store::ReadStatus::kUnknown) {
    this->OnEpoch(answer.object.version.epoch, now);
  }
  if (this->attempt.has_value()) {
    this->attempt->write.OnRead(answer);
    this->SettleAttempt(now);
    return;
  }
  if (answer.status == store::ReadStatus::kFound) {
    this->Observe(answer.object, now);
  }
  if (answer.status == store::ReadStatus::kMissing) {
    this->ObserveMissing(answer.object.version.epoch);
  }
}

void Lease::OnWrite(const store::WriteAnswer& answer, TimePoint now) {
  this->outstanding = false;
  if (answer.status != store::WriteStatus::kUnknown) {
    this->OnEpoch(answer.version.epoch, now);
  }
  if (!this->attempt.has_value()) return;
  this->attempt->write.OnWrite(answer);
  this->SettleAttempt(now);
}

void Lease::SettleAttempt(TimePoint now) {
  const Attempt& completed = *this->attempt;
  if (completed.write.Next() == ConditionalWrite::Step::kApplied) {
    this->SettleApplied(completed, now);
    this->attempt.reset();
    return;
  }
  if (completed.write.Next() != ConditionalWrite::Step::kConflict) return;
  // After the store's return the conflict may be with an older object.
  const bool in_epoch = completed.epoch == this->epoch.value_or(0);
  if (in_epoch) this->valid_until = std::min(this->valid_until, now);
  const std::optional<store::Object> conflicting_object =
      completed.write.ConflictingObject();
  this->attempt.reset();
  if (conflicting_object.has_value()) {
    this->Observe(*conflicting_object, now);
    return;
  }
  // The object was deleted. The fencing number must not start again.
  this->observed = LeaseValue{"", this->observed.fence, ""};
  this->observed_version = {};
}

void Lease::SettleApplied(const Attempt& completed, TimePoint now) {
  const store::Revision applied = completed.write.AppliedVersion();
  this->object_was_read = true;
  this->observed = completed.value;
  this->observed_version = std::max(this->observed_version, applied);
  this->observed_at = now;
  if (!this->HoldsObject() || this->released) return;
  if (completed.epoch != applied.epoch) {
    // What it replaced, or the store lost, may be another's term.
    this->valid_until = std::min(this->valid_until, now);
    this->takeover_at = now + this->settings.term;
    return;
  }
  // Counts from before the first attempt was sent: a challenger can't have seen
  // the change earlier.
  this->valid_until =
      completed.sent_at + this->settings.term - this->settings.margin;
  this->held_fence = completed.value.fence;
  this->held_epoch = completed.epoch;
}

void Lease::Release() {
  this->released = true;
  this->valid_until = TimePoint{};
}

}  // namespace toucanwharf::control
