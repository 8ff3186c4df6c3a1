#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "platform/adapter.h"
#include "toucanwharf/instance/store_sync.h"

namespace toucanwharf::instance {
namespace {

using std::chrono::milliseconds;

/// A store that responds slowly and counts concurrent reads.
class SlowStore {
 public:
  explicit SlowStore(http::Loop& event_loop) : loop(event_loop) {}

  void Read(const store::ObjectKey& /*key*/,
            std::function<void(store::ReadAnswer)> done) {
    this->Begin();
    this->loop.After(kResponseDelay, [this, done] {
      --this->in_flight;
      done({});
    });
  }
  void List(const std::string& /*collection*/,
            std::function<void(std::optional<store::Listing>)> done) {
    this->Begin();
    this->loop.After(kResponseDelay, [this, done] {
      --this->in_flight;
      done(std::nullopt);
    });
  }
  void Write(const store::Write& /*write*/,
             std::function<void(store::WriteAnswer)> /*done*/) {}
  void Remove(const store::ObjectKey& /*key*/) {}
  void OnEpoch(const std::function<void(std::uint64_t)>& /*task*/) {}
  std::uint64_t UnreadableEpochs() const { return 0; }

  int MaxInFlight() const { return this->max_in_flight; }

 private:
  static constexpr Duration kResponseDelay = milliseconds(900);

  void Begin() {
    ++this->in_flight;
    this->max_in_flight = std::max(this->max_in_flight, this->in_flight);
  }

  http::Loop& loop;
  int in_flight = 0;
  int max_in_flight = 0;
};

struct SlowAdapter : adapter::PlatformAdapter {
  using Store = SlowStore;
};

// Guards against an instance that repeats a read while a slow response is still
// arriving: when hundreds of instances start together, the repeats exceed the
// bandwidth of the store's link, and none gets a response.
BOOST_AUTO_TEST_CASE(NoSecondReadWhileOneIsInFlight) {
  http::Loop loop;
  SlowStore store(loop);
  InstanceState state(InstanceSettings{}, "instance");
  eventlog::Logger logger(STDERR_FILENO, "instance");
  EndpointListLog lists(logger);
  ConfigurationInForce configuration(state, logger,
                                     &SlowAdapter::ToConfiguration, [] {});
  StoreSync<SlowAdapter> sync(
      loop, store, state, logger, lists, configuration, [] {},
      StoreSyncTimes(milliseconds(4000)),
      gossip::InitialReadPolicy(1, loop.Now(), 0));
  sync.Start();
  loop.After(milliseconds(850), [&loop] { loop.Stop(); });
  loop.Run();
  // One for the configuration, one for the list.
  BOOST_TEST(store.MaxInFlight() == 2);
}

}  // namespace
}  // namespace toucanwharf::instance
