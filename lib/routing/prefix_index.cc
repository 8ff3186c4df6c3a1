#include "toucanwharf/routing/prefix_index.h"

#include <algorithm>

#include "toucanwharf/support/random.h"

namespace toucanwharf::routing {
namespace {

constexpr double kConfidenceAfterGap = 0.5;

}  // namespace

std::uint64_t HashPrefix(std::string_view text) {
  std::uint64_t hash = MixBits(text.size());
  for (const char letter : text) {
    hash = MixBits(hash ^ static_cast<unsigned char>(letter));
  }
  return hash;
}

void PrefixIndex::Apply(Endpoint endpoint, const CacheEvent& event) {
  Source& source = this->sources[IndexOf(endpoint)];
  if (event.sequence <= source.last_sequence) return;
  if (event.sequence != source.last_sequence + 1) ++source.gaps;
  source.last_sequence = event.sequence;
  this->Evict(endpoint, event.prefix);
  if (event.kind == CacheEvent::Kind::kStored) {
    this->Store(endpoint, source, event);
  }
}

void PrefixIndex::Forget(Endpoint endpoint) {
  const auto source = this->sources.find(IndexOf(endpoint));
  if (source == this->sources.end()) return;
  for (const std::uint64_t prefix : source->second.stored) {
    this->Evict(endpoint, prefix);
  }
  this->sources.erase(source);
}

double PrefixIndex::ExpectedTokens(const Holder& holder) const {
  const auto source = this->sources.find(IndexOf(holder.endpoint));
  const bool uncertain =
      source == this->sources.end() || source->second.gaps != holder.gaps;
  return uncertain ? holder.tokens * kConfidenceAfterGap : holder.tokens;
}

void PrefixIndex::Store(Endpoint endpoint, Source& source,
                        const CacheEvent& event) {
  this->holders[event.prefix].push_back(
      Holder{endpoint, event.tokens, source.gaps});
  source.stored.push_back(event.prefix);
  if (source.stored.size() <= this->per_endpoint) return;
  const std::uint64_t oldest = source.stored.front();
  source.stored.pop_front();
  // A prefix that was stored again since is in the list twice.
  const auto again =
      std::find(source.stored.begin(), source.stored.end(), oldest);
  if (again == source.stored.end()) this->Evict(endpoint, oldest);
}

void PrefixIndex::Evict(Endpoint endpoint, std::uint64_t prefix) {
  const auto found = this->holders.find(prefix);
  if (found == this->holders.end()) return;
  std::erase_if(found->second, [&](const Holder& holder) {
    return holder.endpoint == endpoint;
  });
  if (found->second.empty()) this->holders.erase(found);
}

}  // namespace toucanwharf::routing
