#include "toucanwharf/transport/connection_registry.h"

#include <sys/socket.h>

#include <array>
#include <utility>

#include "toucanwharf/resources/eviction.h"

namespace toucanwharf::transport {
namespace {

/// Room is made for more than the next few bytes at once, since all connections
/// are looked at each time.
constexpr std::size_t kHeadroomDivisor = 16;

}  // namespace

ConnectionRegistry::Id ConnectionRegistry::Open(int socket, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  const Id id = ++this->last_id;
  Entry& added = this->entries[id];
  added.socket = socket;
  added.since = now;
  added.lease = resources::Lease(this->buffers);
  if (this->entries.size() - this->closing <= this->limits.connections) {
    return id;
  }
  for (const auto phase : {ConnectionPhase::kIdle, ConnectionPhase::kWaiting}) {
    Entry* longest = nullptr;
    for (auto& [key, entry] : this->entries) {
      if (entry.evicted || entry.phase != phase) continue;
      if (longest == nullptr || entry.since < longest->since) longest = &entry;
    }
    if (longest == nullptr) continue;
    this->Evict(*longest);
    break;
  }
  return id;
}

void ConnectionRegistry::Close(Id id) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return;
  if (found->second.evicted) {
    --this->closing;
    this->closing_bytes -= found->second.lease.Amount();
  }
  this->entries.erase(found);
}

void ConnectionRegistry::Enter(Id id, ConnectionPhase phase, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return;
  if (std::exchange(found->second.phase, phase) == phase) return;
  found->second.since = now;
}

void ConnectionRegistry::Progress(Id id, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->entries.find(id);
  if (found != this->entries.end()) found->second.since = now;
}

bool ConnectionRegistry::Hold(Id id, std::size_t bytes, TimePoint now) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->entries.find(id);
  if (found == this->entries.end()) return false;
  Entry& entry = found->second;
  if (entry.evicted) return false;
  entry.lease.Resize(bytes);
  const std::size_t held = this->HeldBytes();
  const std::size_t limit = this->limits.buffer_bytes;
  if (held > limit) {
    this->FreeBuffers(held - limit + limit / kHeadroomDivisor, now);
  }
  return this->HeldBytes() <= limit && !entry.evicted;
}

std::uint64_t ConnectionRegistry::Evicted() const {
  const std::lock_guard lock(this->mutex);
  return this->evicted;
}

void ConnectionRegistry::Evict(Entry& entry) {
  entry.evicted = true;
  ++this->evicted;
  ++this->closing;
  this->closing_bytes += entry.lease.Amount();
  shutdown(entry.socket, SHUT_RDWR);
}

std::size_t ConnectionRegistry::HeldBytes() const {
  return this->buffers.Used() - this->closing_bytes;
}

void ConnectionRegistry::FreeBuffers(std::size_t needed, TimePoint now) {
  std::vector<resources::Holding> holdings;
  for (const auto& [id, entry] : this->entries) {
    if (entry.evicted || entry.phase != ConnectionPhase::kWaiting) continue;
    holdings.push_back({id, entry.lease.Amount(), now - entry.since});
  }
  for (const std::size_t id :
       resources::ChooseEvictions(std::move(holdings), needed)) {
    this->Evict(this->entries.at(id));
  }
}

}  // namespace toucanwharf::transport
