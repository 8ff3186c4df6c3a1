#include "test/soak/callers.h"

#include <utility>

#include "toucanwharf/support/random.h"

namespace toucanwharf::soak {
namespace {

using process_test::EventStream;
using process_test::PlatformFleet;

constexpr std::string_view kCrashingPrefix = "crashing-";
constexpr std::chrono::milliseconds kCrashingPeriod{100};

}  // namespace

std::string CrashingId(std::uint64_t number, std::size_t router) {
  return std::string(kCrashingPrefix) + std::to_string(router) + "-" +
         std::to_string(number);
}

std::optional<std::size_t> RouterOfCrashing(const std::string& id) {
  if (!id.starts_with(kCrashingPrefix)) return std::nullopt;
  return std::stoul(id.substr(kCrashingPrefix.size()));
}

Callers::Callers(PlatformFleet& called, const SoakSettings& settings)
    : fleet(called) {
  for (std::size_t number = 0; number < settings.callers; ++number) {
    this->threads.emplace_back([this, number, &settings] {
      this->Run(number, MixBits(settings.seed) + number, settings.routers);
    });
  }
  this->threads.emplace_back([this, &settings] {
    this->RunCrashing(MixBits(settings.seed) + settings.callers,
                      settings.routers);
  });
}

void Callers::RunCrashing(std::uint64_t seed, std::size_t routers) {
  Random random(seed);
  for (std::uint64_t count = 0; !this->stopping; ++count) {
    std::this_thread::sleep_for(kCrashingPeriod);
    if (!this->crashing) continue;
    const std::size_t router = random.Below(routers);
    this->fleet.Stream(router, CrashingId(count, router), "/chat/one", 0,
                       standins::fleet::Endpoints::kCrashingContent);
  }
}

void Callers::Join() {
  this->stopping = true;
  for (std::thread& thread : this->threads) thread.join();
  this->threads.clear();
}

std::vector<ObservedRequest> Callers::Stop() {
  this->Join();
  return std::move(this->observed);
}

void Callers::Run(std::size_t number, std::uint64_t seed, std::size_t routers) {
  Random random(seed);
  for (std::uint64_t count = 0; !this->stopping; ++count) {
    const std::string id =
        "caller-" + std::to_string(number) + "-" + std::to_string(count);
    const std::size_t router = random.Below(routers);
    ObservedRequest request = this->CallOnce(id, random(), router);
    const std::lock_guard lock(this->mutex);
    this->observed.push_back(std::move(request));
  }
}

ObservedRequest Callers::CallOnce(const std::string& id, std::uint64_t draw,
                                  std::size_t router) {
  ObservedRequest request;
  request.id = id;
  request.router = router;
  request.kind = static_cast<RequestKind>(draw % 4);
  request.sent = Clock::now();
  switch (request.kind) {
    case RequestKind::kRead:
      request.answer = this->fleet.Plain(router, "/read/" + id, id);
      break;
    case RequestKind::kSign:
      request.answer = this->fleet.Plain(router, "/sign/" + id, id);
      break;
    case RequestKind::kSecondCustomer:
      request.answer = this->fleet.Plain(router, "/read/" + id, id,
                                         PlatformFleet::kOtherKey);
      break;
    case RequestKind::kStream: {
      // One caller in four disconnects after 1 to 10 events.
      const std::uint64_t more = draw / 4;
      const std::size_t disconnect_after =
          more % 4 == 0 ? 1 + more / 4 % 10 : 0;
      EventStream stream =
          this->fleet.Stream(router, id, "/chat/one", disconnect_after);
      request.disconnected = disconnect_after > 0;
      request.answer = std::move(stream.answer);
      request.events = std::move(stream.ids);
      break;
    }
  }
  return request;
}

}  // namespace toucanwharf::soak
