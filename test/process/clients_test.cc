#include <boost/test/unit_test.hpp>
#include <string>

#include "test/process/crowd.h"
#include "test/process/platform_fleet.h"

namespace toucanwharf::process_test {
namespace {

using standins::fleet::EndpointFault;

constexpr std::size_t kBytesPerMegabyte = 1'000'000;
constexpr std::size_t kBodyBytes = 1024UL * 1024;
/// A machine that a crowd of some dozen bodies is enough for.
constexpr MachineLimits kMachine{48, 400, kBodyBytes};
constexpr std::size_t kBodies = 100;

/// A router on a small machine, and a watch on what it uses.
struct SmallMachine {
  explicit SmallMachine(const MachineLimits& machine = kMachine)
      : limits(machine),
        fleet(1, false, false, {}, machine),
        watch(fleet.Router(0).Pid()),
        idle_bytes(this->Metric("buffered_bytes")) {}

  /// Checks that the router lives, has stayed within its machine, and serves.
  void Check() {
    BOOST_TEST(PlatformFleet::Eventually([this] {
      return this->fleet.Plain(0, "/read/x", "ordinary").status == http::kOk;
    }));
    BOOST_TEST(this->fleet.Router(0).ExitDescription() == "");
    BOOST_TEST(this->watch.PeakResidentBytes() <=
               this->limits.memory_mb * kBytesPerMegabyte);
    BOOST_TEST(this->watch.PeakDescriptors() <= this->limits.max_descriptors);
  }

  /// Checks that a crowd that has left has left nothing, and that there is room
  /// for the largest request.
  void CheckAfterwards() {
    BOOST_TEST(PlatformFleet::Eventually(
        [this] { return this->Metric("buffered_bytes") == this->idle_bytes; },
        20000));
    const Answer largest =
        this->fleet.Plain(0, "/sign/x", "largest", PlatformFleet::kKey,
                          std::string(kBodyBytes, 'b'));
    BOOST_TEST(largest.status == http::kOk);
    this->Check();
  }

  /// Returns the value of the metric \p name, or -1 if there is none.
  double Metric(const std::string& name) {
    const std::string text = "\n" + this->fleet.Metrics(0);
    const std::string line = "\ntoucanwharf_" + name + " ";
    const std::size_t found = text.find(line);
    if (found == std::string::npos) return -1;
    return std::stod(text.substr(found + line.size()));
  }

  MachineLimits limits;
  PlatformFleet fleet;
  ProcessWatch watch;
  /// Only of the request that asks for it.
  double idle_bytes;
};

/// Sends bodies with a length to \p listener that stop short of their end.
void PlayBodiesShortOfTheirEnd(Listener listener,
                               const std::string& method_and_target) {
  SmallMachine machine;
  {
    Crowd crowd(machine.fleet.AddressOf(0, listener), kBodies);
    crowd.Send(
        [&](std::size_t index) {
          return RequestHead(index, LengthField(kBodyBytes), method_and_target);
        },
        std::string(kBodyBytes - 1, 'b'));
    machine.Check();
  }
  machine.CheckAfterwards();
}

/// Sends \p bytes in chunks of \p chunk_bytes that don't end.
void PlayChunks(std::size_t bytes, std::size_t chunk_bytes,
                const MachineLimits& limits = kMachine) {
  SmallMachine machine(limits);
  {
    Crowd crowd(machine.fleet.CallersAddress(0), kBodies);
    crowd.Send(
        [](std::size_t index) { return RequestHead(index, kChunkedField); },
        Chunks(bytes, chunk_bytes));
    machine.Check();
  }
  machine.CheckAfterwards();
}

/// Sends whole bodies of the largest size.
void PlayWholeBodies(const std::string& key) {
  SmallMachine machine;
  {
    Crowd crowd(machine.fleet.CallersAddress(0), kBodies);
    crowd.Send(
        [&](std::size_t index) {
          return RequestHead(index, LengthField(kBodyBytes), "POST /read/x",
                             key);
        },
        std::string(kBodyBytes, 'b'));
    machine.Check();
  }
  machine.CheckAfterwards();
}

void SetFaultOfAll(PlatformFleet& fleet, EndpointFault fault) {
  fleet.RunOnLoop([&] {
    for (const std::string& id : PlatformFleet::PlainIds()) {
      fleet.Endpoints().SetFault(id, fault);
    }
  });
}

// Guards against bodies that each stay inside the limits, and all together fill
// the memory.
BOOST_AUTO_TEST_CASE(BodiesShortOfTheirEnd) {
  PlayBodiesShortOfTheirEnd(Listener::kCallers, "POST /read/x");
}

BOOST_AUTO_TEST_CASE(BodiesShortOfTheirEndToPeers) {
  PlayBodiesShortOfTheirEnd(Listener::kControl, "POST /read/x");
}

BOOST_AUTO_TEST_CASE(BodiesShortOfTheirEndToReadiness) {
  PlayBodiesShortOfTheirEnd(Listener::kReady, "GET /toucanwharf/readyz");
}

BOOST_AUTO_TEST_CASE(BodiesShortOfTheirEndToDirectory) {
  PlayBodiesShortOfTheirEnd(Listener::kDirectory,
                            "GET /toucanwharf/resolve?name=calls.example");
}

// Guards against many bodies that come in small pieces, a few at a time.
BOOST_AUTO_TEST_CASE(SmallBodiesOfManyCallers) {
  constexpr std::size_t kSmallBytes = 200UL * 1000;
  SmallMachine machine({48, 1000, kBodyBytes});
  {
    Crowd crowd(machine.fleet.CallersAddress(0), 600);
    crowd.Send(
        [](std::size_t index) {
          return RequestHead(index, LengthField(kSmallBytes));
        },
        std::string(kSmallBytes - 1, 'b'));
    machine.Check();
  }
  machine.CheckAfterwards();
}

// Guards against bodies in chunks, whose length nobody knows.
BOOST_AUTO_TEST_CASE(LargeChunksWithoutAnEnd) {
  PlayChunks(kBodyBytes - 1, 64UL * 1024);
}

BOOST_AUTO_TEST_CASE(TinyChunksWithoutAnEnd) {
  PlayChunks(400UL * 1000, 1, {40, 400, kBodyBytes});
}

// Guards against bodies that are kept although they were refused.
BOOST_AUTO_TEST_CASE(BodiesFarOverTheLimit) {
  constexpr std::size_t kFarOver = 16UL * kBodyBytes;
  SmallMachine machine;
  {
    Crowd announced(machine.fleet.CallersAddress(0), kBodies / 2);
    Crowd just_sent(machine.fleet.CallersAddress(0), kBodies);
    const std::string chunks = Chunks(2 * kBodyBytes, 64UL * 1024);
    announced.Send(
        [](std::size_t index) {
          return RequestHead(index, LengthField(kFarOver));
        },
        chunks);
    just_sent.Send(
        [](std::size_t index) { return RequestHead(index, kChunkedField); },
        chunks);
    machine.Check();
  }
  machine.CheckAfterwards();
}

// Guards against connections without a request that take all descriptors.
BOOST_AUTO_TEST_CASE(IdleConnections) {
  SmallMachine machine;
  {
    const Crowd crowd(machine.fleet.CallersAddress(0), 600);
    machine.Check();
  }
  machine.CheckAfterwards();
}

// Guards against connections to the other addresses that take all descriptors.
BOOST_AUTO_TEST_CASE(IdleConnectionsToAllAddresses) {
  SmallMachine machine;
  {
    const Crowd callers(machine.fleet.CallersAddress(0), 200);
    const Crowd ready(machine.fleet.AddressOf(0, Listener::kReady), 150);
    const Crowd control(machine.fleet.AddressOf(0, Listener::kControl), 150);
    const Crowd directory(machine.fleet.AddressOf(0, Listener::kDirectory),
                          150);
    machine.Check();
    BOOST_TEST(machine.fleet.Ready(0));
    BOOST_TEST(!machine.fleet.Advice(0).empty());
  }
  machine.CheckAfterwards();
}

// Guards against heads that are sent but for their end.
BOOST_AUTO_TEST_CASE(HeadsWithoutAnEnd) {
  SmallMachine machine({48, 2600, kBodyBytes});
  {
    Crowd crowd(machine.fleet.CallersAddress(0), 2000);
    crowd.Send(
        [](std::size_t) {
          return "GET /read/x HTTP/1.1\r\nX-Long: " + std::string(15000, 'h');
        },
        "");
    machine.Check();
  }
  machine.CheckAfterwards();
}

// Guards against heads of many short fields, which take a multiple of their
// bytes.
BOOST_AUTO_TEST_CASE(HeadsOfManyFields) {
  SmallMachine machine;
  {
    std::string fields = LengthField(kBodyBytes);
    while (fields.size() < 15000) fields += "a:b\r\n";
    Crowd crowd(machine.fleet.CallersAddress(0), 300);
    crowd.Send([&](std::size_t index) { return RequestHead(index, fields); },
               "b");
    machine.Check();
  }
  machine.CheckAfterwards();
}

// Guards against answers that wait for callers that read nothing.
BOOST_AUTO_TEST_CASE(CallersThatDoNotRead) {
  SmallMachine machine;
  {
    Crowd crowd(machine.fleet.CallersAddress(0), kBodies);
    crowd.Send(
        [](std::size_t index) {
          return RequestHead(index, "", "GET /read/long-answer");
        },
        "");
    machine.Check();
  }
  machine.CheckAfterwards();
}

// Guards against answers to pipelined requests that nobody reads.
BOOST_AUTO_TEST_CASE(PipelinedRequestsOfCallersThatDoNotRead) {
  SmallMachine machine;
  {
    std::string more;
    for (std::size_t i = 0; i < 40; ++i) {
      more += RequestHead(i, "", "GET /read/medium-answer");
    }
    Crowd crowd(machine.fleet.CallersAddress(0), kBodies);
    crowd.Send([](std::size_t) { return ""; }, more);
    machine.Check();
  }
  machine.CheckAfterwards();
}

// Guards against bodies that are read whole before their key is looked at.
BOOST_AUTO_TEST_CASE(WholeBodiesWithoutAKey) { PlayWholeBodies(""); }

// Guards against bodies that are held more than once while they are served.
BOOST_AUTO_TEST_CASE(WholeBodiesWithAKey) {
  PlayWholeBodies(PlatformFleet::kKey);
}

// Guards against bodies that are held for as long as endpoints are silent.
BOOST_AUTO_TEST_CASE(WholeBodiesForSilentEndpoints) {
  SmallMachine machine;
  {
    SetFaultOfAll(machine.fleet, EndpointFault::kUnresponsive);
    Crowd crowd(machine.fleet.CallersAddress(0), kBodies);
    crowd.Send(
        [](std::size_t index) {
          return RequestHead(index, LengthField(kBodyBytes));
        },
        std::string(kBodyBytes, 'b'));
    SetFaultOfAll(machine.fleet, EndpointFault::kNone);
    machine.Check();
  }
  machine.CheckAfterwards();
}

}  // namespace
}  // namespace toucanwharf::process_test
