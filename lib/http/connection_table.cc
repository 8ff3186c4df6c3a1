#include "connection_table.h"

#include <vector>

#include "connection.h"
#include "toucanwharf/resources/eviction.h"

namespace toucanwharf::http {
namespace {

/// Room is made for more than the next few bytes at once, since all connections
/// are looked at each time.
constexpr std::size_t kHeadroomDivisor = 16;
/// After this long there may be connections again that can be ended.
constexpr Duration kFreeRetryDelay = std::chrono::milliseconds(10);

}  // namespace

ConnectionTable::List::iterator ConnectionTable::Add(
    Connection* connection, resources::ConnectionUse use) {
  List& idle = this->ListOf(use, Phase::kIdle);
  return idle.insert(idle.end(), connection);
}

void ConnectionTable::Remove(List::iterator place, resources::ConnectionUse use,
                             Phase phase) {
  this->ListOf(use, phase).erase(place);
}

void ConnectionTable::Move(List::iterator place, resources::ConnectionUse use,
                           Phase from, Phase to) {
  List& target = this->ListOf(use, to);
  target.splice(target.end(), this->ListOf(use, from), place);
}

void ConnectionTable::FreeBuffers(std::size_t limit) {
  const std::size_t used = this->resources.buffers.Used();
  if (used <= limit || this->freeing) return;
  const TimePoint now = this->loop.Now();
  if (this->failed_at && now - *this->failed_at < kFreeRetryDelay) return;
  std::vector<std::shared_ptr<Connection>> connections;
  std::vector<resources::Holding> holdings;
  for (const auto& phases : this->lists) {
    for (const List& list : phases) {
      for (Connection* connection : list) {
        const auto age = connection->EvictableFor(now);
        if (!age) continue;
        holdings.push_back({connections.size(), connection->HeldBytes(), *age});
        connections.push_back(connection->shared_from_this());
      }
    }
  }
  const std::size_t needed = used - limit + limit / kHeadroomDivisor;
  this->freeing = true;
  for (const std::size_t id :
       resources::ChooseEvictions(std::move(holdings), needed)) {
    connections.at(id)->Evict();
  }
  this->freeing = false;
  this->failed_at.reset();
  if (this->resources.buffers.Used() > limit) this->failed_at = now;
}

bool ConnectionTable::FreeDescriptor(resources::ConnectionUse use) {
  for (const Phase phase : {Phase::kIdle, Phase::kReceiving}) {
    const List& list = this->ListOf(use, phase);
    if (list.empty()) continue;
    const auto connection = list.front()->shared_from_this();
    ++this->resources.counters.evicted_connections;
    connection->Close();
    return true;
  }
  return false;
}

}  // namespace toucanwharf::http
