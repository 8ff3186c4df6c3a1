#ifndef TOUCANWHARF_MEMBERSHIP_VALUES_H_
#define TOUCANWHARF_MEMBERSHIP_VALUES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "toucanwharf/support/clock.h"

/// Group membership of the routers, and small values that they share, by SWIM:
/// each probes one other a period, and updates are piggybacked on the probes.
namespace toucanwharf::membership {

/// State of a member. The order matters: of two claims about one incarnation
/// the later one wins.
enum class Status : std::uint8_t { kAlive = 0, kSuspect = 1, kDead = 2 };

/// A claim about one member. Only the member itself raises its incarnation, so
/// that its own claim takes precedence over any older claim about it.
struct Member {
  std::string id;
  /// "ip:port" of its listener for peers.
  std::string address;
  std::string failure_domain;
  std::uint64_t incarnation = 0;
  Status status = Status::kAlive;
  /// Set by the member itself: it drains and will end.
  bool leaving = false;

  friend bool operator==(const Member&, const Member&) = default;
};

/// Returns whether \p claim supersedes \p known, about the same member.
constexpr bool Supersedes(const Member& claim, const Member& known) {
  if (claim.incarnation != known.incarnation) {
    return claim.incarnation > known.incarnation;
  }
  return claim.status > known.status;
}

/// Kind of a shared item; its key says what it refers to.
enum class ItemKind : std::uint8_t {
  /// Key empty, value the generation of the records in force at the owner.
  kGeneration = 0,
  /// Key a customer, value its recent usage at the owner.
  kUsage = 1,
  /// Key an endpoint that the owner watches, value its load.
  kEndpointLoad = 2,
  /// Key an endpoint, value its known state: leaving, ejected or back.
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
  /// Empty once the owner withdrew the item.
  std::string value;

  friend bool operator==(const Item&, const Item&) = default;
};

/// Contents of a probe and of its answer.
struct Message {
  Member sender;
  /// Hash of the sender's whole state. Two members whose hashes differ use the
  /// free space in their messages to compare their tables.
  std::uint64_t digest = 0;
  std::vector<Member> members;
  std::vector<Item> items;

  friend bool operator==(const Message&, const Message&) = default;
};

/// Returns the bytes that \p member takes in a message, for the byte cap.
std::size_t EncodedSize(const Member& member);
/// Returns the bytes that \p item takes in a message, for the byte cap.
std::size_t EncodedSize(const Item& item);

/// A request to send a message and return the answer, if one arrives.
struct Probe {
  /// Identifies the probe in Membership::OnAnswer.
  std::uint64_t id = 0;
  std::string address;
  /// If set, the message goes through the member at this address.
  std::string via;
  Message message;

  friend bool operator==(const Probe&, const Probe&) = default;
};

/// An entry of the platform's list of instances. The list lags, so it only
/// provides addresses to probe.
struct Seed {
  std::string id;
  std::string address;

  friend bool operator==(const Seed&, const Seed&) = default;
};

/// Times and limits. The defaults work for 6 members as well as for 420.
struct Settings {
  /// One probe per member and period. With 500 ms a dead member is detected
  /// within about 0.8 s on average, whatever the size: e/(e-1) periods until
  /// some member probes it.
  Duration period = std::chrono::milliseconds(500);
  /// Timeout of a direct answer: two hundred times the round trip between
  /// failure domains, so that a scheduling pause doesn't count as a missing
  /// answer.
  Duration probe_timeout = std::chrono::milliseconds(200);
  /// Members that one member probes, chosen by rendezvous hashing; the next by
  /// id is added. A larger group is probed along a random graph of this degree:
  /// still one probe a period for each member, and updates still cross it in
  /// about log2 periods, but over connections that stay open. Probing all 420
  /// in turn would open a new connection for nearly each probe.
  std::size_t neighbours = 15;
  /// Members asked to probe on this one's behalf. One bad link of three
  /// hundred, seen from three independent places, is distinguished from a dead
  /// member.
  std::uint32_t indirect_probes = 3;
  /// Periods, times log2 of the group, that a suspect has to refute. An update
  /// needs about log2 periods to reach all, the answer as many to come back;
  /// the third is for lost messages. 4.5 s for 6 members, 13.5 s for 420.
  std::uint32_t suspicion_factor = 3;
  /// Transmissions of each update, times log2 of the group: with three all
  /// members receive it with high probability, the digests repair the rest.
  std::uint32_t retransmit_factor = 3;
  /// Cap on the gossip of one message. At two messages a period and direction
  /// that is 4 KB a second, a third of what control may use.
  std::size_t message_bytes = 1024;
  /// How long a dead member is remembered, so that stale updates can't restore
  /// it; longer than partitions between regions last.
  Duration forget_after = std::chrono::hours(1);
  /// Periods between two attempts to reach a member that was declared dead, by
  /// which two halves of a partition merge again.
  std::uint32_t reconnect_periods = 6;
  /// Items of one owner; bounds the table whatever a member sends.
  std::size_t items_per_owner = 512;

  friend bool operator==(const Settings&, const Settings&) = default;
};

}  // namespace toucanwharf::membership

#endif  // TOUCANWHARF_MEMBERSHIP_VALUES_H_
