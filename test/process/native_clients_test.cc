#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

#include "test/process/crowd.h"
#include "test/process/fixture.h"

namespace toucanwharf::process_test {
namespace {

constexpr std::size_t kBytesPerMegabyte = 1'000'000;
/// Of which an idle router takes a third.
constexpr std::size_t kMemoryMegabytes = 96;
constexpr std::size_t kBodyBytes = 1024UL * 1024;
constexpr std::size_t kBodies = 150;
constexpr std::size_t kMaxConnections = 400;
/// Of calls, listeners, threads and files.
constexpr std::size_t kOtherDescriptors = 200;

/// A router with its own interface on a small machine.
struct SmallRouter {
  SmallRouter() : index(Start(this->fleet)), watch(fleet.Router(0).Pid()) {}

  static std::size_t Start(Fleet& fleet) {
    EngineSpec spec;
    spec.id = "whole";
    spec.end = Fleet::kLayers;
    spec.layer_micros = 500;
    fleet.AddEngine(spec);
    const std::size_t added = fleet.AddRouter(
        "casa-a",
        {{"memory_mb", kMemoryMegabytes}, {"connections", kMaxConnections}});
    fleet.WaitUntilServing();
    return added;
  }

  void Check() {
    const auto answer = this->fleet.Stream(0, "an ordinary prompt", 6, 11);
    BOOST_TEST(answer.done);
    BOOST_TEST(this->fleet.Router(0).ExitDescription() == "");
    BOOST_TEST(this->watch.PeakResidentBytes() <=
               kMemoryMegabytes * kBytesPerMegabyte);
    BOOST_TEST(this->watch.PeakDescriptors() <=
               kMaxConnections + kOtherDescriptors);
  }

  /// Checks that a request of the largest size is read, once the crowd is gone.
  void CheckAfterwards() {
    Call call;
    call.method = "POST";
    call.url = this->fleet.RouterAddress(0) + "/nowhere";
    call.key = Fleet::kCustomerKey;
    call.body = std::string(kBodyBytes, 'b');
    BOOST_TEST(Send(call).status == 404);
    this->Check();
  }

  Fleet fleet;
  std::size_t index;
  ProcessWatch watch;
};

std::string Head(const std::string& framing) {
  return "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
         std::string(Fleet::kCustomerKey) + "\r\n" + framing + "\r\n";
}

void PlayBodies(const std::string& address, SmallRouter& router,
                const std::string& head, std::size_t body_bytes) {
  {
    Crowd crowd(address, kBodies);
    crowd.Send([&](std::size_t) { return head; }, std::string(body_bytes, 'b'));
    router.Check();
  }
  router.CheckAfterwards();
}

// Guards against bodies that each stay inside the limits, and all together fill
// the memory.
BOOST_AUTO_TEST_CASE(BodiesShortOfTheirEnd) {
  SmallRouter router;
  PlayBodies(router.fleet.RouterAddress(0), router,
             Head(LengthField(kBodyBytes)), kBodyBytes - 1);
}

BOOST_AUTO_TEST_CASE(BodiesShortOfTheirEndToOperators) {
  SmallRouter router;
  PlayBodies(router.fleet.AdminAddress(0), router,
             Head(LengthField(kBodyBytes)), kBodyBytes - 1);
}

// Guards against connections without a request that leave no room for others.
BOOST_AUTO_TEST_CASE(IdleConnections) {
  SmallRouter router;
  {
    const Crowd crowd(router.fleet.RouterAddress(0), kMaxConnections + 100);
    router.Check();
  }
  router.CheckAfterwards();
}

}  // namespace
}  // namespace toucanwharf::process_test
