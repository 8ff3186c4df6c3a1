#include "wire.h"

#include <cstdint>

namespace toucanwharf::peers {
namespace {

constexpr std::uint32_t kLastStatus =
    static_cast<std::uint32_t>(membership::Status::kDead);
constexpr std::uint32_t kLastKind =
    static_cast<std::uint32_t>(membership::ItemKind::kEndpointState);

void MemberToWire(const membership::Member& member, wire::Member& out) {
  out.set_id(member.id);
  out.set_address(member.address);
  out.set_failure_domain(member.failure_domain);
  out.set_incarnation(member.incarnation);
  out.set_status(static_cast<std::uint32_t>(member.status));
  out.set_leaving(member.leaving);
}

std::optional<membership::Member> MemberFromWire(const wire::Member& in) {
  if (in.id().empty() || in.status() > kLastStatus) return std::nullopt;
  return membership::Member{in.id(),
                            in.address(),
                            in.failure_domain(),
                            in.incarnation(),
                            static_cast<membership::Status>(in.status()),
                            in.leaving()};
}

void ItemToWire(const membership::Item& item, wire::Item& out) {
  out.set_owner(item.name.owner);
  out.set_kind(static_cast<std::uint32_t>(item.name.kind));
  out.set_key(item.name.key);
  out.set_version(item.version);
  out.set_value(item.value);
}

}  // namespace

void ToWire(const membership::Message& message, wire::Gossip& gossip) {
  MemberToWire(message.sender, *gossip.mutable_sender());
  gossip.set_digest(message.digest);
  for (const membership::Member& member : message.members) {
    MemberToWire(member, *gossip.add_members());
  }
  for (const membership::Item& item : message.items) {
    ItemToWire(item, *gossip.add_items());
  }
}

std::optional<membership::Message> FromWire(const wire::Gossip& gossip) {
  membership::Message message;
  const auto sender = MemberFromWire(gossip.sender());
  if (!sender) return std::nullopt;
  message.sender = *sender;
  message.digest = gossip.digest();
  for (const wire::Member& member : gossip.members()) {
    const auto claim = MemberFromWire(member);
    if (!claim) return std::nullopt;
    message.members.push_back(*claim);
  }
  for (const wire::Item& item : gossip.items()) {
    if (item.kind() > kLastKind) continue;
    const auto kind = static_cast<membership::ItemKind>(item.kind());
    message.items.push_back(
        {{item.owner(), kind, item.key()}, item.version(), item.value()});
  }
  return message;
}

}  // namespace toucanwharf::peers
