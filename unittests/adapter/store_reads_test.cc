#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "platform/adapter.h"
#include "toucanwharf/instance/store_sync.h"

namespace toucanwharf::instance {
namespace {

using std::chrono::milliseconds;

/// A store that takes its time for every answer.
class SlowStore {
 public:
  explicit SlowStore(http::Loop& event_loop) : loop(event_loop) {}

  void Read(const store::ObjectKey& /*key*/,
            std::function<void(store::ReadAnswer)> done) {
    this->Begin();
    this->loop.After(kTakes, [this, done] {
      --this->under_way;
      done({});
    });
  }
  void List(const std::string& /*collection*/,
            std::function<void(std::optional<store::Listing>)> done) {
    this->Begin();
    this->loop.After(kTakes, [this, done] {
      --this->under_way;
      done(std::nullopt);
    });
  }
  void Write(const store::Write& /*write*/,
             std::function<void(store::WriteAnswer)> /*done*/) {}
  void Remove(const store::ObjectKey& /*key*/) {}

  int MostAtOnce() const { return this->most_at_once; }

 private:
  static constexpr Duration kTakes = milliseconds(900);

  void Begin() {
    ++this->under_way;
    this->most_at_once = std::max(this->most_at_once, this->under_way);
  }

  http::Loop& loop;
  int under_way = 0;
  int most_at_once = 0;
};

struct SlowAdapter : adapter::PlatformAdapter {
  using Store = SlowStore;
};

// Guards against an instance that asks again while the store's answer comes
// slowly: hundreds of them that start at once then ask for more than the
// store's link carries, and none gets an answer.
BOOST_AUTO_TEST_CASE(ReadIsNotBegunBesideOneUnderWay) {
  http::Loop loop;
  SlowStore store(loop);
  InstanceState state(InstanceSettings{}, "instance");
  eventlog::Logger logger(STDERR_FILENO, "instance");
  EndpointListLog lists(logger);
  StoreSync<SlowAdapter> sync(
      loop, store, state, logger, lists, [] {},
      StoreSyncTimes(milliseconds(4000)),
      gossip::InitialReadPolicy(1, loop.Now(), 0));
  sync.Start();
  loop.After(milliseconds(850), [&loop] { loop.Stop(); });
  loop.Run();
  // One for the configuration, one for the list.
  BOOST_TEST(store.MostAtOnce() == 2);
}

}  // namespace
}  // namespace toucanwharf::instance
