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
  for (int i = 0; i < kRoutes; ++i) {
    text +=
        R"({"name":"r-)" + std::to_string(HashText(std::to_string(i))) +
        R"(","host":"calls.example","path_prefix":"/)" + std::to_string(i) +
        R"(/","kind":"stream","timeout_ms":20000,"slo_ms":600,"priority":1,)"
        R"("service":"model","max_attempts":2,"public":false,"sticky":true,)"
        R"("resumable":true,"gap_aim_ms":300},)";
  }
  return text;
}

/// One instance's snapshot exchange, on a loop that it shares with others.
class Holder {
 public:
  Holder(http::Loop& event_loop, const std::string& name)
      : loop(event_loop),
        state(InstanceSettings{}, name),
        logger(STDERR_FILENO, name),
        client(event_loop),
        snapshots(event_loop, this->client, this->state, this->logger,
                  this->endpoint_log, "domain") {
    this->snapshots.Start(
        [this](const store::Revision& revision, const std::string& text) {
          this->state.configuration = {revision.number, revision};
          this->state.configuration_text = text;
          ++this->configurations_applied;
        },
        [] {});
    auto listening = http::Server::Listen(
        event_loop, "127.0.0.1:0", [this](const auto& exchange) {
          ++this->requests_received;
          BOOST_TEST(this->snapshots.Handle(exchange));
        });
    BOOST_REQUIRE(listening.has_value());
    this->server = std::move(listening.value());
  }

  void SetConfiguration(const std::string& text) {
    this->state.route_table =
        std::make_shared<const routes::RouteTable>(routes::Configuration{});
    ++this->state.configuration.version;
    ++this->state.configuration.revision.number;
    this->state.configuration_text = text;
  }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->server->Port());
  }
  /// Returns a beacon that announces the snapshot that it has.
  gossip::Beacon MakeBeacon() const {
    gossip::Beacon beacon;
    beacon.configuration = this->state.configuration;
    beacon.control_address = this->Address();
    return beacon;
  }

  http::Loop& loop;
  InstanceState state;
  eventlog::Logger logger;
  EndpointListLog endpoint_log{this->logger};
  http::Client client;
  SnapshotExchange snapshots;
  std::unique_ptr<http::Server> server;
  int configurations_applied = 0;
  int requests_received = 0;
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

  void On(const std::function<void()>& task) {
    std::promise<void> done;
    this->loop.Post([&] {
      task();
      done.set_value();
    });
    done.get_future().get();
  }
  /// Waits until \p holds is true on the loop's thread; returns whether it was.
  bool Eventually(const std::function<bool()>& holds) {
    constexpr int kPolls = 100;
    bool held = false;
    for (int poll = 0; poll < kPolls && !held; ++poll) {
      std::this_thread::sleep_for(milliseconds(50));
      this->On([&] { held = holds(); });
    }
    return held;
  }

  http::Loop loop;

 private:
  std::thread thread;
};

/// Two instances, one of which has a configuration.
class InstancePair {
 public:
  explicit InstancePair(const std::string& text) {
    this->thread.On([&] {
      this->holder = std::make_unique<Holder>(this->thread.loop, "holder");
      this->follower = std::make_unique<Holder>(this->thread.loop, "follower");
      this->holder->SetConfiguration(text);
    });
  }
  ~InstancePair() {
    this->thread.On([this] {
      this->holder.reset();
      this->follower.reset();
    });
  }
  InstancePair(const InstancePair&) = delete;
  InstancePair& operator=(const InstancePair&) = delete;

  void Announce() {
    this->thread.On([this] {
      this->follower->snapshots.FetchNewer(this->holder->MakeBeacon());
    });
  }
  bool FollowerHas(const std::string& text) {
    return this->thread.Eventually(
        [&] { return this->follower->state.configuration_text == text; });
  }

  LoopThread thread;
  std::unique_ptr<Holder> holder;
  std::unique_ptr<Holder> follower;
};

BOOST_AUTO_TEST_CASE(NewerConfigurationIsFetchedUnchanged) {
  const std::string text = LargeText();
  InstancePair pair(text);
  pair.Announce();
  BOOST_TEST(pair.FollowerHas(text));
}

// Guards against a configuration of many routes that saturates the links of a
// large fleet for seconds: it is sent in an eighth of its bytes.
BOOST_AUTO_TEST_CASE(LargeConfigurationIsSentCompressed) {
  const std::string text = LargeText();
  BOOST_TEST(Deflate(text).size() * 8 <= text.size());
}

/// A caller that requests the configuration and reads only the first bytes of
/// the answer.
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
    const ssize_t received =
        recv(this->descriptor, bytes.data(), bytes.size(), MSG_WAITALL);
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
    return bytes;
  }

 private:
  int descriptor;
};

/// More than the kernel's buffers for a connection hold.
std::string HugeText() {
  constexpr std::size_t kBytes = 24UL * 1024 * 1024;
  return std::string(kBytes, 'a');
}

// Guards against so many concurrent transfers on a congested link that none
// completes in time: further requests are refused immediately, and succeed
// after another transfer has ended.
BOOST_AUTO_TEST_CASE(ConcurrentTransfersAreLimited) {
  InstancePair pair(HugeText());
  std::vector<std::unique_ptr<StalledCaller>> callers;
  for (int i = 0; i < 3; ++i) {
    callers.push_back(std::make_unique<StalledCaller>(*pair.holder));
    BOOST_TEST(callers.back()->FirstBytes() == "HTTP/1.1 200");
  }
  const StalledCaller late(*pair.holder);
  BOOST_TEST(late.FirstBytes() == "HTTP/1.1 503");
  pair.Announce();
  BOOST_TEST(pair.thread.Eventually(
      [&] { return pair.holder->requests_received > 4; }));
  BOOST_TEST(pair.follower->configurations_applied == 0);
  // A refused peer retries without another beacon.
  const std::string text = LargeText();
  pair.thread.On([&] { pair.holder->SetConfiguration(text); });
  callers.clear();
  BOOST_TEST(pair.FollowerHas(text));
}

}  // namespace
}  // namespace toucanwharf::instance
