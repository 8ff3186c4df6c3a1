#include "toucanwharf/exchange/peer_exchange.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "toucanwharf/settings/settings.h"
#include "toucanwharf/transport/event_loop.h"

namespace toucanwharf::exchange {
namespace {

constexpr std::size_t kSize = 3;

struct Routers {
  transport::EventLoop loop;
  std::vector<std::unique_ptr<PeerExchange>> routers;

  Routers() {
    std::vector<membership::Seed> seeds;
    for (std::size_t i = 0; i < kSize; ++i) {
      settings::Settings settings;
      settings.instance = "r" + std::to_string(i);
      settings.listen.peers = "127.0.0.1:" + std::to_string(kFirstPort + i);
      settings.advertise.peers = settings.listen.peers;
      settings.peer_key = "key";
      seeds.push_back({settings.instance, settings.listen.peers});
      this->routers.push_back(std::make_unique<PeerExchange>(
          this->loop, settings, PeerCallbacks{}));
    }
    for (const auto& router : this->routers) {
      BOOST_REQUIRE(router->Start().has_value());
      router->OnList(seeds);
    }
  }

  /// Runs the loop until \p done returns true, or until ctest's timeout.
  void RunUntil(const std::function<bool()>& done) {
    std::function<void()> check = [&] {
      if (done()) {
        this->loop.Stop();
        return;
      }
      this->loop.After(std::chrono::milliseconds(20), check);
    };
    check();
    this->loop.Run();
  }

  static constexpr std::size_t kFirstPort = 28131;
};

BOOST_FIXTURE_TEST_CASE(RoutersLearnOfMembersDrainsAndItems, Routers) {
  using membership::ItemKind;
  this->routers[0]->Publish(ItemKind::kGeneration, "", "5");
  this->routers[1]->Leave();
  this->RunUntil([this] {
    const auto& last = *this->routers[2];
    const auto present = last.Present();
    return present.size() == kSize && present[1].leaving &&
           last.Items(ItemKind::kGeneration).size() == 1;
  });
  const auto items = this->routers[2]->Items(ItemKind::kGeneration);
  BOOST_TEST(items.front().value == "5");
  BOOST_TEST(this->routers[2]->Counts().bytes_received > 0u);
  // A leaving router no longer observes endpoints.
  BOOST_TEST(this->routers[1]->ObserverRank("e1", 2) == 2u);
}

}  // namespace
}  // namespace toucanwharf::exchange
