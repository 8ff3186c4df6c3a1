#ifndef TOUCANWHARF_MEMBERSHIP_VALUES_H_
#define TOUCANWHARF_MEMBERSHIP_VALUES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "toucanwharf/support/clock.h"

/// Which routers are there, and small values that they tell each other, by
/// SWIM: each probes one other a period, and news rides on the probes.
namespace toucanwharf::membership {

/// What is believed of a member. The order matters: of two claims about one
/// incarnation the later one wins.
enum class Status : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2 };

/// A claim about one member. Only the member itself raises its incarnation, so
/// that its own word goes before any older claim about it.
struct Member {
  std::string id;
  /// "ip:port" of its listener for peers.
  std::string address;
  std::string failure_domain;
  std::uint64_t incarnation = 0;
  Status status = Status::kAlive;
  /// Said by the member itself: it drains and will end.
  bool leaving = false;

  friend bool operator==(const Member&, const Member&) = default;
};

/// Returns whether \p claim says more than \p known about the same member.
constexpr bool Supersedes(const Member& claim, const Member& known) {
  if (claim.incarnation != known.incarnation) {
    return claim.incarnation > known.incarnation;
  }
  return claim.status > known.status;
}

/// What a shared item is about; its key says of which thing.
enum class ItemKind : std::uint8_t {
  /// Key empty, value the generation of the records in force at the owner.
  kGeneration = 0,
  /// Key a customer, value its recent usage at the owner.
  kUsage = 1,
  /// Key an endpoint that the owner watches, value its load.
  kEndpointLoad = 2,
  /// Key an endpoint, value what is known: leaving, ejected or back.
  kEndpointState = 3,
};

/// Names an item; only the owner writes it.
struct ItemKey {
  std::string owner;
  ItemKind kind = ItemKind::kGeneration;
  std::string key;

  friend auto operator<=>(const ItemKey&, const ItemKey&) = default;
};

/// One version of an item.
struct Item {
  ItemKey name;
  std::uint64_t version = 0;
  /// Empty once the owner took the item back.
  std::string value;

  friend bool operator==(const Item&, const Item&) = default;
};

/// What travels in both directions of a probe.
struct Message {
  Member sender;
  /// Hash of all that the sender believes. Two members whose hashes differ
  /// use the room left in their messages to compare their tables.
  std::uint64_t digest = 0;
  std::vector<Member> members;
  std::vector<Item> items;

  friend bool operator==(const Message&, const Message&) = default;
};

/// Returns the bytes that \p member takes in a message, for the byte cap.
std::size_t EncodedSize(const Member& member);
/// Returns the bytes that \p item takes in a message, for the byte cap.
std::size_t EncodedSize(const Item& item);

/// An order to send a message and bring back the answer, if one comes.
struct Probe {
  /// Names the probe in Membership::OnAnswer.
  std::uint64_t id = 0;
  std::string address;
  /// If set, ask the member at this address to pass the message on.
  std::string via;
  Message message;

  friend bool operator==(const Probe&, const Probe&) = default;
};

/// An entry of the platform's list of instances. The list lags, so it only
/// tells whom to ask.
struct Seed {
  std::string id;
  std::string address;

  friend bool operator==(const Seed&, const Seed&) = default;
};

/// Times and limits. The defaults carry 6 members as well as 420.
struct Settings {
  /// One probe per member and period. With 500 ms a dead member is noticed
  /// within about 0.8 s on average, whatever the size: e/(e-1) periods until
  /// some member probes it.
  Duration period = std::chrono::milliseconds(500);
  /// Until a direct answer counts as missing: two hundred times the round trip
  /// between failure domains, so that a scheduling pause is no missed answer.
  Duration probe_timeout = std::chrono::milliseconds(200);
  /// Members that one member probes, chosen by rendezvous hashing, and the next
  /// by id on top. A larger group is watched by a random graph of this degree:
  /// still one probe a period for each member, and news still crosses it in
  /// about log2 periods, but over connections that stay open. Going round all
  /// 420 would open a new one for nearly each probe.
  std::size_t neighbours = 15;
  /// Members asked to probe in turn. One bad link of three hundred, seen from
  /// three independent places, is told apart from a dead member.
  std::uint32_t indirect_probes = 3;
  /// Periods times log2 of the group that a suspect has to answer. News needs
  /// about log2 periods to reach all, the answer as many to come back; the
  /// third is for lost messages. 4.5 s for 6 members, 13.5 s for 420.
  std::uint32_t suspicion_factor = 3;
  /// Sends of each piece of news, times log2 of the group: with three all
  /// members hear it with high probability, the digests mend the rest.
  std::uint32_t retransmit_factor = 3;
  /// Cap on the gossip of one message. At two messages a period and direction
  /// that is 4 KB a second, a third of what control may use.
  std::size_t message_bytes = 1024;
  /// How long a dead member is remembered, so that stale news can't bring it
  /// back; longer than regions lose each other.
  Duration forget_after = std::chrono::hours(1);
  /// Periods between two tries to reach a member that was declared dead. Two
  /// halves of a partition find each other again by this.
  std::uint32_t reconnect_periods = 6;
  /// Items of one owner; keeps the table bounded whatever a member says.
  std::size_t items_per_owner = 512;

  friend bool operator==(const Settings&, const Settings&) = default;
};

}  // namespace toucanwharf::membership

#endif  // TOUCANWHARF_MEMBERSHIP_VALUES_H_
