#include "test/soak/callers.h"

#include <utility>

#include "toucanwharf/support/random.h"

namespace toucanwharf::soak {
namespace {

using process_test::EventStream;
using process_test::PlatformFleet;

constexpr std::uint64_t kFirstParts = 3;
constexpr std::chrono::milliseconds kCrashingPeriod{100};

std::string PrefixOf(CrashCause cause) {
  return cause == CrashCause::kContent ? "crashing-" : "crashing-part-";
}

/// Returns a part that prompts begin with.
std::string FirstPart(std::uint64_t draw) {
  return "f1" + std::to_string(draw % kFirstParts) + ":40";
}

/// Returns the last part of a prompt, which no other request has.
std::string OwnPart(std::uint64_t draw) { return std::to_string(draw) + ":60"; }

}  // namespace

std::string CrashingId(CrashCause cause, std::uint64_t number,
                       std::size_t router) {
  return PrefixOf(cause) + std::to_string(router) + "-" +
         std::to_string(number);
}

std::optional<std::size_t> RouterOfCrashing(CrashCause cause,
                                            const std::string& id) {
  const std::string prefix = PrefixOf(cause);
  if (!id.starts_with(prefix)) return std::nullopt;
  const std::string rest = id.substr(prefix.size());
  if (rest.empty() || rest.front() < '0' || rest.front() > '9') {
    return std::nullopt;
  }
  return std::stoul(rest);
}

Callers::Callers(PlatformFleet& called, const SoakSettings& settings)
    : fleet(called), has_parts(settings.crashing_parts) {
  for (std::size_t number = 0; number < settings.callers; ++number) {
    this->threads.emplace_back([this, number, &settings] {
      this->Run(number, MixBits(settings.seed) + number, settings.routers);
    });
  }
  this->threads.emplace_back([this, &settings] {
    this->RunCrashing(CrashCause::kContent, this->crashing,
                      MixBits(settings.seed) + settings.callers,
                      settings.routers);
  });
  if (!settings.crashing_parts) return;
  this->threads.emplace_back([this, &settings] {
    this->RunCrashing(CrashCause::kPromptPart, this->crashing_parts,
                      MixBits(settings.seed) + settings.callers + 1,
                      settings.routers);
  });
}

void Callers::RunCrashing(CrashCause cause, const std::atomic<bool>& active,
                          std::uint64_t seed, std::size_t routers) {
  Random random(seed);
  for (std::uint64_t count = 0; !this->stopping; ++count) {
    std::this_thread::sleep_for(kCrashingPeriod);
    if (!active) continue;
    const std::size_t router = random.Below(routers);
    const std::string id = CrashingId(cause, count, router);
    if (cause == CrashCause::kContent) {
      this->fleet.Stream(router, id, "/chat/one", 0,
                         standins::fleet::Endpoints::kCrashingContent);
      continue;
    }
    const std::string parts = FirstPart(random()) + "," +
                              standins::fleet::Endpoints::kCrashingPart +
                              ":9," + OwnPart(random());
    this->fleet.Stream(router, id, "/chat/one", 0, "the prompt of " + id,
                       parts);
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
      const std::string parts =
          this->has_parts ? FirstPart(more) + "," + OwnPart(draw) : "";
      EventStream stream =
          this->fleet.Stream(router, id, "/chat/one", disconnect_after,
                             "the prompt of " + id, parts);
      request.disconnected = disconnect_after > 0;
      request.answer = std::move(stream.answer);
      request.events = std::move(stream.ids);
      break;
    }
  }
  return request;
}

}  // namespace toucanwharf::soak
