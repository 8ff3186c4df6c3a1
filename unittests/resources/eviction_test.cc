#include "toucanwharf/resources/eviction.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>

namespace toucanwharf::resources {
namespace {

BOOST_AUTO_TEST_SUITE(EvictionTest)

constexpr Duration kStep = std::chrono::milliseconds(10);

BOOST_AUTO_TEST_CASE(MostForLongestGoesFirst) {
  const std::vector<Holding> holdings = {
      {1, 200, 10 * kStep}, {2, 1000, 10 * kStep}, {3, 1000, kStep}};
  BOOST_TEST(ChooseEvictions(holdings, 1) == std::vector<std::size_t>{2},
             boost::test_tools::per_element());
  const std::vector<std::size_t> both = {2, 1};
  BOOST_TEST(ChooseEvictions(holdings, 1001) == both,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(TooLittleToFreeEndsAll) {
  BOOST_TEST(ChooseEvictions({{1, 10, kStep}, {2, 20, kStep}}, 100).size() ==
             2);
  BOOST_TEST(ChooseEvictions({}, 100).empty());
}

/// A client of the play below.
struct Client {
  std::size_t bytes = 0;
  TimePoint began;
  bool ordinary = false;
};

// Guards against ordinary callers that are refused while a crowd fills the
// memory: clients that stop short of their end, or send a little now and then,
// come back as soon as they are refused.
BOOST_AUTO_TEST_CASE(OrdinaryCallersGetInBesideACrowd) {
  constexpr std::size_t kCapacity = 40'000'000;
  constexpr std::size_t kLargeBody = 4'000'000;
  constexpr std::size_t kTrickle = 2000;
  constexpr std::size_t kOrdinaryBody = 50'000;
  constexpr std::size_t kOrdinaryPiece = 10'000;
  std::vector<Client> clients(100);
  int served = 0;
  int refused = 0;
  for (int step = 0; step < 2000; ++step) {
    const TimePoint now{step * kStep};
    if (step % 10 == 0) clients.push_back({0, now, true});
    for (std::size_t i = 0; i < clients.size(); ++i) {
      Client& client = clients[i];
      const std::size_t piece = i % 2 == 0 ? 500'000 : kTrickle;
      client.bytes += client.ordinary ? kOrdinaryPiece : piece;
      client.bytes = std::min(client.bytes, kLargeBody - 1);
    }
    std::erase_if(clients, [&](const Client& client) {
      const bool whole = client.ordinary && client.bytes >= kOrdinaryBody;
      served += whole ? 1 : 0;
      return whole;
    });
    const std::size_t used = std::accumulate(
        clients.begin(), clients.end(), std::size_t{0},
        [](std::size_t sum, const Client& c) { return sum + c.bytes; });
    if (used <= kCapacity) continue;
    std::vector<Holding> holdings;
    for (std::size_t i = 0; i < clients.size(); ++i) {
      holdings.push_back({i, clients[i].bytes, now - clients[i].began});
    }
    for (const std::size_t id : ChooseEvictions(holdings, used - kCapacity)) {
      refused += clients[id].ordinary ? 1 : 0;
      clients[id] = {0, now, false};
    }
  }
  BOOST_TEST(refused == 0);
  BOOST_TEST(served >= 198);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace toucanwharf::resources
