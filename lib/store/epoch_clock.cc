#include "toucanwharf/store/epoch_clock.h"

#include <algorithm>

namespace toucanwharf::store {

bool EpochClock::OnAnswer(std::uint64_t newest, TimePoint now) {
  if (this->epoch && newest <= *this->epoch) return false;
  const bool returned = this->epoch.has_value();
  this->epoch = newest;
  this->first_seen_at = now;
  this->is_evidence = returned;
  return returned;
}

bool EpochClock::OnPeer(std::uint64_t newest,
                        const std::optional<Duration>& age, TimePoint now) {
  const bool returned = newest > 0 && this->OnAnswer(newest, now);
  if (!age || this->epoch != newest) return returned;
  const TimePoint told = now - *age;
  this->first_seen_at =
      this->is_evidence ? std::min(this->first_seen_at, told) : told;
  this->is_evidence = true;
  return returned;
}

std::optional<Duration> EpochClock::Age(TimePoint now) const {
  if (!this->epoch) return std::nullopt;
  const Duration age = now - this->first_seen_at;
  if (!this->is_evidence && age < this->settings.rewrite_time) {
    return std::nullopt;
  }
  return age;
}

bool EpochClock::IsSettled(TimePoint read) const {
  if (!this->epoch) return false;
  // A store that states no epoch has none to return to.
  if (*this->epoch == 0) return true;
  if (this->is_evidence) {
    return read >= this->first_seen_at + this->settings.rewrite_time;
  }
  const TimePoint news_at = this->first_seen_at + this->settings.first_news;
  return read >= std::min(news_at, this->alone_since.value_or(news_at));
}

}  // namespace toucanwharf::store
