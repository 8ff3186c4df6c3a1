#include "standins/engine/caches.h"

#include <algorithm>

#include "absl/strings/str_format.h"

namespace toucanwharf::standins {
namespace {

constexpr std::size_t kMaxEvents = 4096;
constexpr std::size_t kMaxCancelled = 4096;

}  // namespace

bool KvCache::Reserve(const std::string& request, std::uint64_t tokens) {
  const std::lock_guard lock(this->mutex);
  std::uint64_t others = 0;
  for (const auto& [name, entry] : this->entries) {
    if (name != request) others += entry.reserved;
  }
  if (others + tokens > this->capacity) return false;
  this->entries[request].reserved = tokens;
  this->EvictUnused();
  return true;
}

void KvCache::Release(const std::string& request) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->entries.find(request);
  if (found != this->entries.end()) found->second.reserved = 0;
}

std::uint64_t KvCache::Held(const std::string& request) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->entries.find(request);
  return found == this->entries.end() ? 0 : found->second.tokens;
}

void KvCache::Store(const std::string& request, std::uint64_t tokens) {
  const std::lock_guard lock(this->mutex);
  Entry& entry = this->entries[request];
  entry.tokens = tokens;
  entry.used_at = ++this->uses;
  this->EvictUnused();
}

void KvCache::Drop(const std::string& request) {
  const std::lock_guard lock(this->mutex);
  this->entries.erase(request);
}

std::uint64_t KvCache::Free() {
  const std::lock_guard lock(this->mutex);
  std::uint64_t reserved = 0;
  for (const auto& [name, entry] : this->entries) reserved += entry.reserved;
  return reserved > this->capacity ? 0 : this->capacity - reserved;
}

void KvCache::EvictUnused() {
  const auto size = [](const Entry& entry) {
    return std::max(entry.tokens, entry.reserved);
  };
  std::uint64_t held = 0;
  for (const auto& [name, entry] : this->entries) held += size(entry);
  while (held > this->capacity) {
    auto oldest = this->entries.end();
    for (auto it = this->entries.begin(); it != this->entries.end(); ++it) {
      if (it->second.reserved > 0) continue;
      if (oldest == this->entries.end() ||
          it->second.used_at < oldest->second.used_at) {
        oldest = it;
      }
    }
    if (oldest == this->entries.end()) return;
    held -= size(oldest->second);
    this->entries.erase(oldest);
  }
}

PrefixCache::PrefixCache(const EngineSettings& engine_settings)
    : capacity(engine_settings.prefix_blocks),
      lag(engine_settings.event_lag_ms),
      loss_ratio(engine_settings.event_gaps),
      random(HashText(engine_settings.id)) {}

std::uint64_t PrefixCache::LookupAndInsert(std::string_view prompt) {
  const std::lock_guard lock(this->mutex);
  std::uint64_t cached = 0;
  for (const std::uint64_t prefix : PrefixHashes(prompt)) {
    if (this->positions.contains(prefix)) {
      cached += kPrefixBlockBytes / kBytesPerToken;
    }
    this->Insert(prefix);
  }
  return cached;
}

void PrefixCache::Insert(std::uint64_t prefix) {
  const auto found = this->positions.find(prefix);
  if (found != this->positions.end()) {
    this->recent.splice(this->recent.begin(), this->recent, found->second);
    return;
  }
  this->recent.push_front(prefix);
  this->positions[prefix] = this->recent.begin();
  this->Log(true, prefix);
  if (this->recent.size() <= this->capacity) return;
  this->Log(false, this->recent.back());
  this->positions.erase(this->recent.back());
  this->recent.pop_back();
}

void PrefixCache::Log(bool stored, std::uint64_t prefix) {
  ++this->sequence;
  if (this->random.Unit() < this->loss_ratio) return;
  this->events.push_back(
      Event{this->sequence, stored, prefix, std::chrono::steady_clock::now()});
  if (this->events.size() > kMaxEvents) this->events.pop_front();
}

nlohmann::json PrefixCache::Events(std::uint64_t after) {
  const std::lock_guard lock(this->mutex);
  const TimePoint until = std::chrono::steady_clock::now() - this->lag;
  nlohmann::json list = nlohmann::json::array();
  for (const Event& event : this->events) {
    if (event.sequence <= after || event.time > until) continue;
    list.push_back({{"sequence", event.sequence},
                    {"type", event.stored ? "stored" : "evicted"},
                    {"prefix", absl::StrFormat("%016x", event.prefix)}});
  }
  return {{"events", list}};
}

void CancelledSet::Cancel(const std::string& request, std::uint64_t attempt) {
  const std::lock_guard lock(this->mutex);
  const auto [found, added] = this->attempts.try_emplace(request, attempt);
  found->second = std::max(found->second, attempt);
  if (!added) return;
  this->order.push_back(request);
  if (this->order.size() <= kMaxCancelled) return;
  this->attempts.erase(this->order.front());
  this->order.pop_front();
}

bool CancelledSet::Contains(const std::string& request, std::uint64_t attempt) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->attempts.find(request);
  return found != this->attempts.end() && attempt <= found->second;
}

}  // namespace toucanwharf::standins
