#include "toucanwharf/instance/quarantine_sync.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <vector>

#include "platform/adapter.h"

namespace toucanwharf::instance {
namespace {

using std::chrono::milliseconds;

const quarantine::SuspectReport kReport{{7, 0x1234},
                                        {{{1, 11},
                                          std::chrono::seconds(9),
                                          milliseconds(60),
                                          milliseconds(20),
                                          false},
                                         {{2, 12},
                                          std::chrono::seconds(4),
                                          milliseconds(50),
                                          milliseconds(30),
                                          false}}};

const quarantine::SuspectReport kOtherReport{{9, 99}, kReport.crashes};

/// A store that answers at once.
class MemoryStore {
 public:
  void Read(const store::ObjectKey& /*key*/,
            const std::function<void(store::ReadAnswer)>& done) {
    done({});
  }
  void List(const std::string& collection,
            const std::function<void(std::optional<store::Listing>)>& done) {
    store::Listing listing;
    listing.revision = {this->epoch, 1};
    for (const auto& [key, value] : this->objects) {
      if (key.collection != collection) continue;
      listing.objects.push_back({key, this->versions[key], "", value});
    }
    done(listing);
  }
  void Write(const store::Write& write,
             const std::function<void(store::WriteAnswer)>& done) {
    const bool exists = this->objects.contains(write.key);
    store::Revision& version = this->versions[write.key];
    if (write.if_version.number != (exists ? version.number : 0)) {
      done({store::WriteStatus::kConflict, version});
      return;
    }
    this->objects[write.key] = write.value;
    version.epoch = this->epoch;
    ++version.number;
    done({store::WriteStatus::kWritten, version});
  }
  void Remove(const store::ObjectKey& key) { this->objects.erase(key); }
  void OnEpoch(const std::function<void(std::uint64_t)>& /*task*/) {}
  std::uint64_t UnreadableEpochs() const { return 0; }

  std::map<store::ObjectKey, std::string> objects;
  std::map<store::ObjectKey, store::Revision> versions;
  std::uint64_t epoch = 1;
};

struct MemoryAdapter : adapter::PlatformAdapter {
  using Store = MemoryStore;
};

/// An instance that leads, with its store.
struct Leader {
  Leader() { this->state.leads = true; }

  /// Runs \p steps one after another with time for the leader in between.
  void Run(const std::vector<std::function<void()>>& steps) {
    Duration at{0};
    for (const auto& step : steps) {
      this->loop.After(at += milliseconds(30), step);
    }
    this->loop.After(at + milliseconds(1), [this] { this->loop.Stop(); });
    this->loop.Run();
  }
  bool Refuses() {
    return this->state.quarantine.Judge(kReport.suspect, this->loop.Now())
        .has_value();
  }

  http::Loop loop;
  MemoryStore store;
  eventlog::Logger logger{open("/dev/null", O_WRONLY | O_CLOEXEC), "leader"};
  InstanceState state{InstanceSettings{}, "leader"};
  QuarantineSync<MemoryAdapter> sync{this->loop,  this->store,
                                     this->state, this->logger,
                                     "leader",    milliseconds(5)};
};

// Guards against a quarantine that a restart forgets, and one that comes back
// with a restart although its request was answered.
BOOST_AUTO_TEST_CASE(StoredQuarantineIsReadAndEndsWithAnAnswer) {
  Leader leader;
  const std::string name = quarantine::ToText(kReport.suspect);
  leader.store.objects[{MemoryAdapter::QuarantineCollection(), name}] =
      SuspectRecordToText(kReport, "another");
  leader.store.objects[{MemoryAdapter::QuarantineCollection(), "odd"}] = "7";
  leader.sync.Start();
  leader.Run({[&] {
                BOOST_TEST(leader.Refuses());
                BOOST_TEST(leader.state.quarantine_known);
                leader.state.quarantine.OnSuccess(kReport.suspect,
                                                  leader.loop.Now());
              },
              [&] {
                BOOST_TEST(!leader.Refuses());
                BOOST_TEST(leader.store.objects.size() == 1U);
              }});
}

// Guards against a request that is refused by one instance's memory only, and
// against one that an operator can't lift.
BOOST_AUTO_TEST_CASE(LeaderStoresAndLifts) {
  Leader leader;
  leader.sync.Start();
  leader.state.quarantine.Merge(kReport, leader.loop.Now());
  leader.Run({[&] { BOOST_TEST(leader.store.objects.size() == 1U); },
              [&] { leader.store.objects.clear(); },
              [&] {
                BOOST_TEST(!leader.Refuses());
                BOOST_TEST(leader.store.objects.empty());
              }});
}

// Guards against a quarantine that ends because the store, back from an older
// copy, lacks it: nobody removed it.
BOOST_AUTO_TEST_CASE(ReturnOfTheStoreLiftsNothing) {
  Leader leader;
  leader.sync.Start();
  leader.state.quarantine.Merge(kReport, leader.loop.Now());
  leader.Run({[&] { BOOST_TEST(leader.store.objects.size() == 1U); },
              [&] {
                leader.store.objects.clear();
                ++leader.store.epoch;
              },
              [&] {
                BOOST_TEST(leader.Refuses());
                BOOST_TEST(leader.store.objects.size() == 1U);
              }});
}

// Guards against a quarantine that was lifted and comes back with a copy of the
// store.
BOOST_AUTO_TEST_CASE(ReturnOfTheStoreBringsNoQuarantineBack) {
  Leader leader;
  std::map<store::ObjectKey, std::string> copy;
  leader.sync.Start();
  leader.state.quarantine.Merge(kReport, leader.loop.Now());
  leader.Run({[&] {
                copy = leader.store.objects;
                leader.store.objects.clear();
              },
              [&] { BOOST_TEST(!leader.Refuses()); },
              [&] {
                leader.store.objects = copy;
                ++leader.store.epoch;
                // The leader follows while there is anything to follow.
                leader.state.quarantine.Merge(kOtherReport, leader.loop.Now());
              },
              [&] {
                BOOST_TEST(!leader.Refuses());
                BOOST_TEST(leader.store.objects.size() == 1U);
              }});
}

// Guards against a restart of all instances after which a request with three
// crashes is refused for a minute only, because the store has the first two.
BOOST_AUTO_TEST_CASE(LaterCrashesAreStoredToo) {
  Leader leader;
  leader.state.quarantine.Merge(kReport, leader.loop.Now());
  leader.sync.OnCrash(kReport.suspect);
  quarantine::SuspectReport later = kReport;
  later.crashes.push_back({{3, 13},
                           std::chrono::seconds(1),
                           milliseconds(40),
                           milliseconds(30),
                           false});
  leader.state.quarantine.Merge(later, leader.loop.Now());
  leader.sync.OnCrash(kReport.suspect);
  BOOST_REQUIRE(leader.store.objects.size() == 1U);
  const auto& [key, value] = *leader.store.objects.begin();
  const auto stored = SuspectRecordFromText(key.name, value);
  BOOST_REQUIRE(stored.has_value());
  BOOST_TEST(stored->crashes.size() == 3U);
}

}  // namespace
}  // namespace toucanwharf::instance
