#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "../fakes/object_map.h"
#include "toucanwharf/control/config_follower.h"
#include "toucanwharf/control/lease.h"
#include "toucanwharf/control/publisher.h"
#include "toucanwharf/control/review.h"

namespace toucanwharf::control {
namespace {

using fakes::Fault;
using fakes::ObjectMap;

constexpr Duration kMilli{std::chrono::milliseconds(1)};

/// Accepts any record except one that repeats another one's value, and the
/// removal of any except "base".
struct UniqueValues {
  Inspection Inspect(const RecordMap& records, const std::string& name) const {
    Inspection inspection{"v1", {}};
    for (const auto& [other, value] : records) {
      const bool same = other != name && value == records.at(name);
      if (same) inspection.problems.push_back("same value as " + other);
    }
    if (records.at(name) == "\"v2\"") inspection.schema = "v2";
    return inspection;
  }
  std::vector<std::string> InspectRemoval(const RecordMap&,
                                          const std::string& name) const {
    if (name == "base") return {"used by others: delete those first"};
    return {};
  }
};

std::map<std::string, store::Object> Wanted(const ObjectMap& map) {
  std::map<std::string, store::Object> wanted;
  for (const store::Object& object : map.List("records").objects) {
    wanted[object.key.name] = object;
  }
  return wanted;
}

void WriteRecord(ObjectMap& map, const std::string& name,
                 const std::string& value) {
  const store::ObjectKey key{"records", name};
  const store::Revision base = map.Read(key, Fault::kNone).object.version;
  map.Write({key, "operator", base, value}, Fault::kNone);
}

/// One router: it follows the configuration and may hold the lease.
struct Instance {
  explicit Instance(const std::string& name)
      : lease(LeaseSettings{"acceptance", name}, 1), publisher(name) {}

  Lease lease;
  Publisher publisher;
  ConfigFollower follower;
  std::optional<LeaseCall> lease_call;
  std::optional<LeaseCall> publish_call;
};

class Fleet {
 public:
  explicit Fleet(int size) {
    for (int index = 0; index < size; ++index) {
      this->instances.emplace_back("r" + std::to_string(index));
    }
  }

  void Step(std::size_t index, std::uint32_t action, Fault fault) {
    Instance& instance = this->instances[index];
    if (action == 0) this->StepLease(instance, fault);
    if (action == 1) this->StepPublish(instance, fault);
    if (action == 2) this->StepFollow(instance, fault);
    if (action == 3) {
      const Instance& peer = this->instances[(index + 1) % 3];
      const auto update =
          peer.follower.UpdateFor(instance.follower.Current().generation);
      if (update.has_value()) instance.follower.OnPeer(*update);
    }
    this->Check(index);
  }

  void Settle() {
    for (std::uint32_t round = 0; round < 6000; ++round) {
      this->now = this->now + 5 * kMilli;
      this->Step(round % 3, round / 3 % 3, Fault::kNone);
    }
  }

  ObjectMap map;
  TimePoint now;
  std::vector<Instance> instances;

 private:
  void StepLease(Instance& instance, Fault fault) {
    if (!instance.lease_call.has_value()) {
      instance.lease_call = instance.lease.Poll(this->now);
      return;
    }
    const LeaseCall call = *std::exchange(instance.lease_call, std::nullopt);
    if (const auto* write = std::get_if<store::Write>(&call)) {
      instance.lease.OnWrite(this->map.Write(*write, fault), this->now);
    } else {
      const auto& key = std::get<store::ObjectKey>(call);
      instance.lease.OnRead(this->map.Read(key, fault), this->now);
    }
  }

  void StepPublish(Instance& instance, Fault fault) {
    if (instance.publish_call.has_value()) {
      const LeaseCall call =
          *std::exchange(instance.publish_call, std::nullopt);
      std::optional<store::Object> head;
      if (const auto* write = std::get_if<store::Write>(&call)) {
        head = instance.publisher.OnWrite(this->map.Write(*write, fault));
      } else {
        const auto& key = std::get<store::ObjectKey>(call);
        head = instance.publisher.OnRead(this->map.Read(key, fault));
      }
      if (head.has_value()) instance.follower.OnHead(*head);
      return;
    }
    const bool free = !instance.publisher.Busy() &&
                      instance.lease.MayAct(this->now) &&
                      instance.follower.UpToDate();
    if (free) {
      const Review review =
          ReviewRecords(instance.follower.Current().records, Wanted(this->map),
                        SchemaReaders{}, UniqueValues{});
      if (!review.changes.empty()) {
        instance.publisher.Start(instance.follower, review.changes,
                                 this->map.List("records").revision.number,
                                 instance.lease.Fence());
      }
    }
    instance.publish_call = instance.publisher.Poll(instance.lease, this->now);
  }

  void StepFollow(Instance& instance, Fault fault) {
    const auto next = instance.follower.NextRead();
    if (next.has_value()) {
      instance.follower.OnRead(*next, this->map.Read(*next, fault));
      return;
    }
    const auto head = this->map.Read({kConfigCollection, kHeadName}, fault);
    if (head.status == store::ReadStatus::kFound) {
      instance.follower.OnHead(head.object);
    }
  }

  /// I7: no instance goes back, and a generation is the same everywhere.
  void Check(std::size_t index) {
    const Config& config = this->instances[index].follower.Current();
    RC_ASSERT(config.generation >= this->in_force[index]);
    this->in_force[index] = config.generation;
    const auto [known, fresh] =
        this->generations.emplace(config.generation, config.records);
    RC_ASSERT(known->second == config.records);
  }

  std::map<std::size_t, std::uint64_t> in_force;
  std::map<std::uint64_t, RecordMap> generations;
};

// Operators write, change and delete records while the three routers fail to
// reach the store, read stale copies, lose answers and are paused past their
// lease while they publish. Guards against a change that is undone, and against
// two routers that serve the same generation differently.
RC_BOOST_PROP(GenerationsNeverDecreaseAndAreTheSameEverywhere, ()) {
  Fleet fleet(3);
  const auto steps =
      *rc::gen::scale(15.0, rc::gen::container<std::vector<std::uint32_t>>(
                                rc::gen::inRange<std::uint32_t>(0, 60'000)));
  for (const std::uint32_t step : steps) {
    const std::uint32_t detail = step / 60;
    if (step % 20 == 0) {
      const std::string name = "n" + std::to_string(detail % 5);
      WriteRecord(fleet.map, name, std::to_string(detail % 11));
    }
    if (step % 60 == 1) {
      fleet.map.Delete({"records", "n" + std::to_string(detail % 5)});
    }
    if (step % 20 == 2) fleet.map.ApplyLateWrites();
    if (step % 200 == 3) fleet.now = fleet.now + 7000 * kMilli;
    fleet.now = fleet.now + 20 * kMilli;
    const std::uint32_t kind = detail / 12 % 12;
    const auto fault =
        kind < fakes::kFaultCount ? static_cast<Fault>(kind) : Fault::kNone;
    fleet.Step(step % 3, detail % 4, fault);
  }
  fleet.map.ApplyLateWrites();
  fleet.Settle();
  const auto wanted = Wanted(fleet.map);
  for (const Instance& instance : fleet.instances) {
    const RecordMap& records = instance.follower.Current().records;
    RC_ASSERT(records == fleet.instances[0].follower.Current().records);
    for (const auto& [name, value] : records) RC_ASSERT(wanted.contains(name));
  }
}

// Forty changes are published one after the other. An instance that starts now
// reads the snapshot and the later deltas, and has the same records as the
// others.
BOOST_AUTO_TEST_CASE(NewInstanceStartsFromTheSnapshot) {
  Fleet fleet(3);
  for (int change = 0; change < 40; ++change) {
    WriteRecord(fleet.map, "n", std::to_string(change));
    fleet.Settle();
  }
  BOOST_TEST(fleet.instances[0].follower.KnownHead().snapshot.generation ==
             32u);
  ConfigFollower fresh;
  fresh.OnHead(
      fleet.map.Read({kConfigCollection, kHeadName}, Fault::kNone).object);
  int reads = 0;
  while (const auto next = fresh.NextRead()) {
    fresh.OnRead(*next, fleet.map.Read(*next, Fault::kNone));
    ++reads;
  }
  BOOST_TEST((fresh.Current() == fleet.instances[0].follower.Current()));
  BOOST_TEST(reads == 9);
}

// The store is down and an instance is replaced: it starts from a peer.
BOOST_AUTO_TEST_CASE(NewInstanceStartsFromAPeer) {
  Fleet fleet(3);
  WriteRecord(fleet.map, "n", "1");
  fleet.Settle();
  const ConfigFollower& peer = fleet.instances[1].follower;
  ConfigFollower fresh;
  const auto update = DecodePeerUpdate(Encode(*peer.UpdateFor(0)));
  BOOST_TEST(fresh.OnPeer(*update));
  BOOST_TEST((fresh.Current() == peer.Current()));
  BOOST_TEST(!fresh.OnPeer(*update));
}

// A new holder of the lease lists the records from a lagging replica, which
// lacks the newest one. Publishing that would delete the record everywhere.
BOOST_AUTO_TEST_CASE(StaleListingOfRecordsIsNotPublished) {
  Fleet fleet(3);
  WriteRecord(fleet.map, "n", "1");
  const std::uint64_t stale = fleet.map.List("records").revision.number - 1;
  fleet.Settle();
  Publisher publisher("late");
  const ConfigFollower& base = fleet.instances[0].follower;
  BOOST_TEST(!publisher.Start(base, {{"n", std::nullopt}}, stale, 9));
  BOOST_TEST(!publisher.Busy());
}

// A peer sends the changes since a generation that this instance doesn't have.
// Applying them would leave out the changes in between.
BOOST_AUTO_TEST_CASE(UpdateThatSkipsGenerationsIsRefused) {
  ConfigFollower follower;
  BOOST_TEST(follower.OnPeer({0, 3, {{"n", "1"}}}));
  BOOST_TEST(!follower.OnPeer({4, 5, {{"m", "2"}}}));
  BOOST_TEST(follower.Current().generation == 3u);
}

// The publisher is paused past its lease between the delta and the head. When
// it resumes it makes no further call.
BOOST_AUTO_TEST_CASE(PublisherStopsWhenItsLeaseIsOver) {
  Fleet fleet(3);
  WriteRecord(fleet.map, "n", "1");
  fleet.Settle();
  for (Instance& instance : fleet.instances) {
    if (!instance.lease.MayAct(fleet.now)) continue;
    Publisher publisher("p");
    publisher.Start(instance.follower, {{"n", "2"}},
                    fleet.map.List("records").revision.number,
                    instance.lease.Fence());
    const auto delta = publisher.Poll(instance.lease, fleet.now);
    const auto& write = std::get<store::Write>(*delta);
    publisher.OnWrite(fleet.map.Write(write, Fault::kNone));
    const TimePoint later = fleet.now + 7000 * kMilli;
    BOOST_TEST(!publisher.Poll(instance.lease, later).has_value());
    BOOST_TEST(!publisher.Busy());
  }
}

// A publisher is paused before it writes the head. Meanwhile another holder
// publishes. The first resumes while it still assumes that its term holds, and
// its head must not replace the other's.
BOOST_AUTO_TEST_CASE(HeadOfAnotherPublisherStays) {
  ObjectMap map;
  ConfigFollower base;
  Lease lease(LeaseSettings{"acceptance", "r"}, 1);
  const TimePoint now{std::chrono::seconds(1)};
  lease.Poll(now);
  lease.OnRead(map.Read({"leases", "acceptance"}, Fault::kNone), now);
  const auto takeover = lease.Poll(now);
  lease.OnWrite(map.Write(std::get<store::Write>(*takeover), Fault::kNone),
                now);
  Publisher paused("paused");
  Publisher other("other");
  paused.Start(base, {{"n", "1"}}, 0, lease.Fence());
  other.Start(base, {{"n", "2"}}, 0, lease.Fence());
  const auto publish = [&](Publisher& publisher) {
    std::optional<store::Object> head;
    while (const auto call = publisher.Poll(lease, now)) {
      if (const auto* write = std::get_if<store::Write>(&*call)) {
        head = publisher.OnWrite(map.Write(*write, Fault::kNone));
      } else {
        const auto& key = std::get<store::ObjectKey>(*call);
        head = publisher.OnRead(map.Read(key, Fault::kNone));
      }
    }
    return head;
  };
  BOOST_TEST(publish(other).has_value());
  BOOST_TEST(!publish(paused).has_value());
  const auto head = map.Read({kConfigCollection, kHeadName}, Fault::kNone);
  BOOST_TEST(head.object.writer.find("other") == 0u);
}

// Two operators write records that exclude each other. The first stays, and the
// second's status names it.
BOOST_AUTO_TEST_CASE(FirstOfTwoConflictingRecordsStays) {
  ObjectMap map;
  WriteRecord(map, "z-first", "7");
  WriteRecord(map, "a-second", "7");
  const Review review =
      ReviewRecords({}, Wanted(map), SchemaReaders{}, UniqueValues{});
  BOOST_TEST(review.changes.contains("z-first"));
  BOOST_TEST(!review.changes.contains("a-second"));
  const RecordStatus& status = review.statuses.at("a-second");
  BOOST_TEST((status.state == RecordState::kRejected));
  BOOST_TEST(status.reasons.at(0) == "same value as z-first");
}

// A record in a new schema arrives during a rolling replacement. It waits, and
// its status names the instance that can't read it yet.
BOOST_AUTO_TEST_CASE(RecordWaitsForInstancesThatCannotReadIt) {
  ObjectMap map;
  WriteRecord(map, "n", "\"v2\"");
  SchemaReaders readers{{"new", {"v1", "v2"}}, {"old", {"v1"}}};
  const Review held = ReviewRecords({}, Wanted(map), readers, UniqueValues{});
  BOOST_TEST(held.changes.empty());
  BOOST_TEST((held.statuses.at("n").state == RecordState::kWaiting));
  BOOST_TEST(held.statuses.at("n").reasons.at(0).find("instance old") == 0u);
  readers.erase("old");
  const Review done = ReviewRecords({}, Wanted(map), readers, UniqueValues{});
  BOOST_TEST(done.changes.size() == 1u);
}

BOOST_AUTO_TEST_CASE(RecordThatOthersNeedStays) {
  const Review review = ReviewRecords({{"base", "1"}, {"other", "2"}}, {},
                                      SchemaReaders{}, UniqueValues{});
  BOOST_TEST(review.changes.size() == 1u);
  BOOST_TEST((review.statuses.at("base").state == RecordState::kRejected));
}

}  // namespace
}  // namespace toucanwharf::control
