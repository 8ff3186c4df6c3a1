#include "toucanwharf/instance/snapshot_exchange.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "toucanwharf/http/loop.h"
#include "toucanwharf/support/deflate.h"

namespace toucanwharf::instance {
namespace {

using std::chrono::milliseconds;

/// A configuration's text of about 300 KB.
std::string LargeText() {
  constexpr int kRoutes = 1240;
  std::string text;
  for (int at = 0; at < kRoutes; ++at) {
    text +=
        R"({"name":"r-)" + std::to_string(HashText(std::to_string(at))) +
        R"(","host":"calls.example","path_prefix":"/)" + std::to_string(at) +
        R"(/","kind":"stream","timeout_ms":20000,"slo_ms":600,"priority":1,)"
        R"("service":"model","max_attempts":2,"public":false,"sticky":true,)"
        R"("resumable":true,"gap_aim_ms":300},)";
  }
  return text;
}

/// One instance's copies, on a loop that it shares with others.
class Holder {
 public:
  Holder(http::Loop& event_loop, const std::string& name)
      : loop(event_loop),
        state(InstanceSettings{}, name),
        logger(STDERR_FILENO, name),
        client(event_loop),
        copies(event_loop, this->client, this->state, this->logger, this->lists,
               "domain") {
    this->copies.Start(
        [this](std::uint64_t revision, const std::string& text) {
          this->state.configuration_revision = revision;
          this->state.configuration_text = text;
          ++this->taken;
        },
        [] {});
    auto listening = http::Server::Listen(
        event_loop, "127.0.0.1:0", [this](const auto& exchange) {
          ++this->asked;
          BOOST_TEST(this->copies.Handle(exchange));
        });
    BOOST_REQUIRE(listening.has_value());
    this->server = std::move(listening.value());
  }

  void Hold(const std::string& text) {
    this->state.table =
        std::make_shared<const routes::RouteTable>(routes::Configuration{});
    ++this->state.configuration_revision;
    this->state.configuration_text = text;
  }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server->Port());
  }
  /// Returns the beacon by which others hear of what it holds.
  gossip::Beacon Told() const {
    gossip::Beacon beacon;
    beacon.configuration_revision = this->state.configuration_revision;
    beacon.control_address = this->Address();
    return beacon;
  }

  http::Loop& loop;
  InstanceState state;
  eventlog::Logger logger;
  EndpointListLog lists{this->logger};
  http::Client client;
  SnapshotExchange copies;
  std::unique_ptr<http::Server> server;
  int taken = 0;
  int asked = 0;
};

/// Runs a loop on a thread of its own.
class LoopThread {
 public:
  LoopThread() : thread([this] { this->loop.Run(); }) {}
  ~LoopThread() {
    this->loop.Stop();
    this->thread.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  void On(const std::function<void()>& act) {
    std::promise<void> done;
    this->loop.Post([&] {
      act();
      done.set_value();
    });
    done.get_future().get();
  }
  /// Waits until \p holds on the loop's thread; returns whether it did.
  bool Eventually(const std::function<bool()>& holds) {
    constexpr int kLooks = 100;
    bool held = false;
    for (int look = 0; look < kLooks && !held; ++look) {
      std::this_thread::sleep_for(milliseconds(50));
      this->On([&] { held = holds(); });
    }
    return held;
  }

  http::Loop loop;

 private:
  std::thread thread;
};

/// Two instances, of which one holds a configuration.
class Two {
 public:
  explicit Two(const std::string& text) {
    this->thread.On([&] {
      this->holder = std::make_unique<Holder>(this->thread.loop, "holder");
      this->follower = std::make_unique<Holder>(this->thread.loop, "follower");
      this->holder->Hold(text);
    });
  }
  ~Two() {
    this->thread.On([this] {
      this->holder.reset();
      this->follower.reset();
    });
  }
  Two(const Two&) = delete;
  Two& operator=(const Two&) = delete;

  void Tell() {
    this->thread.On(
        [this] { this->follower->copies.FetchNewer(this->holder->Told()); });
  }
  bool FollowerHas(const std::string& text) {
    return this->thread.Eventually(
        [&] { return this->follower->state.configuration_text == text; });
  }

  LoopThread thread;
  std::unique_ptr<Holder> holder;
  std::unique_ptr<Holder> follower;
};

BOOST_AUTO_TEST_CASE(NewerConfigurationIsFetchedAsItIs) {
  const std::string text = LargeText();
  Two two(text);
  two.Tell();
  BOOST_TEST(two.FollowerHas(text));
}

// Guards against a configuration of many routes that fills the links of a large
// fleet for seconds: it goes from one to another in an eighth of its bytes.
BOOST_AUTO_TEST_CASE(LargeConfigurationTravelsInFewBytes) {
  const std::string text = LargeText();
  BOOST_TEST(Deflate(text).size() * 8 <= text.size());
}

/// A caller that asks for the configuration and reads nothing of the answer but
/// its first bytes.
class StalledCaller {
 public:
  explicit StalledCaller(const Holder& holder)
      : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    constexpr int kSmallWindow = 4096;
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &kSmallWindow,
               sizeof(kSmallWindow));
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(holder.server->Port());
    peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(connect(this->descriptor, reinterpret_cast<sockaddr*>(&peer),
                          sizeof(peer)) == 0);
    const std::string request =
        "GET /peer/configuration HTTP/1.1\r\nHost: peer\r\n\r\n";
    BOOST_REQUIRE(write(this->descriptor, request.data(), request.size()) ==
                  static_cast<ssize_t>(request.size()));
  }
  ~StalledCaller() { close(this->descriptor); }
  StalledCaller(const StalledCaller&) = delete;
  StalledCaller& operator=(const StalledCaller&) = delete;

  /// Waits for the answer's first bytes.
  std::string FirstBytes() const {
    std::string bytes(12, ' ');
    const ssize_t got =
        recv(this->descriptor, bytes.data(), bytes.size(), MSG_WAITALL);
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
    return bytes;
  }

 private:
  int descriptor;
};

/// More than the kernel buffers of a connection hold.
std::string HugeText() {
  constexpr std::size_t kBytes = 24UL * 1024 * 1024;
  return std::string(kBytes, 'a');
}

// Guards against a crowded link on which so many copies are under way that none
// arrives in time: who comes later is turned away at once, and gets one when
// another has left.
BOOST_AUTO_TEST_CASE(CopiesUnderWayAreFew) {
  Two two(HugeText());
  std::vector<std::unique_ptr<StalledCaller>> callers;
  for (int at = 0; at < 3; ++at) {
    callers.push_back(std::make_unique<StalledCaller>(*two.holder));
    BOOST_TEST(callers.back()->FirstBytes() == "HTTP/1.1 200");
  }
  const StalledCaller late(*two.holder);
  BOOST_TEST(late.FirstBytes() == "HTTP/1.1 503");
  two.Tell();
  BOOST_TEST(two.thread.Eventually([&] { return two.holder->asked > 4; }));
  BOOST_TEST(two.follower->taken == 0);
  // Whoever was turned away tries anew without another beacon.
  const std::string text = LargeText();
  two.thread.On([&] { two.holder->Hold(text); });
  callers.clear();
  BOOST_TEST(two.FollowerHas(text));
}

}  // namespace
}  // namespace toucanwharf::instance
