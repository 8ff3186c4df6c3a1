#include "toucanwharf/limits/pacer.h"

#include <algorithm>

namespace toucanwharf::limits {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Requests that may be saved: those of this time, and at least one and the
/// part of the next one that grows while the first waits for a caller.
constexpr double kSavedSeconds = 0.25;
constexpr double kMinSaved = 1.7;
/// Wait at an endpoint of whose limit this instance holds no part.
constexpr Duration kNoPartWait = std::chrono::seconds(5);
constexpr double kRoundingMargin = 1e-6;

}  // namespace

double Pacer::TokensOf(const Bucket& bucket, TimePoint now) {
  const double seconds =
      static_cast<double>((now - bucket.filled).count()) / kMicrosPerSecond;
  const double most = std::max(kMinSaved, kSavedSeconds * bucket.per_second);
  return std::min(most, bucket.tokens + seconds * bucket.per_second);
}

void Pacer::SetRate(std::uint32_t endpoint, double per_second, TimePoint now) {
  const auto [entry, added] =
      this->buckets.try_emplace(endpoint, Bucket{per_second, 0, now});
  if (added) return;
  Bucket& bucket = entry->second;
  bucket.tokens = per_second > 0 ? TokensOf(bucket, now) : 0;
  bucket.filled = now;
  bucket.per_second = per_second;
}

void Pacer::RetainOnly(const std::set<std::uint32_t>& limited) {
  std::erase_if(this->buckets, [&](const auto& entry) {
    return !limited.contains(entry.first);
  });
}

bool Pacer::MaySend(std::uint32_t endpoint, TimePoint now) const {
  const auto found = this->buckets.find(endpoint);
  return found == this->buckets.end() ||
         TokensOf(found->second, now) >= 1 - kRoundingMargin;
}

Duration Pacer::Wait(std::uint32_t endpoint, TimePoint now) const {
  const auto found = this->buckets.find(endpoint);
  if (found == this->buckets.end()) return Duration(0);
  const Bucket& bucket = found->second;
  if (bucket.per_second <= 0) return kNoPartWait;
  const double missing = std::max(0.0, 1 - TokensOf(bucket, now));
  const double micros = missing / bucket.per_second * kMicrosPerSecond;
  return Duration(static_cast<std::int64_t>(
      std::min(micros, static_cast<double>(Duration(kNoPartWait).count()))));
}

void Pacer::OnSend(std::uint32_t endpoint, TimePoint now) {
  const auto found = this->buckets.find(endpoint);
  if (found == this->buckets.end()) return;
  Bucket& bucket = found->second;
  // Below zero after a request that couldn't wait.
  bucket.tokens = TokensOf(bucket, now) - 1;
  bucket.filled = now;
}

}  // namespace toucanwharf::limits
