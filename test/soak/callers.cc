#include "test/soak/callers.h"

#include <utility>

#include "toucanwharf/support/random.h"

namespace toucanwharf::soak {
namespace {

using process_test::EventStream;
using process_test::PlatformFleet;

}  // namespace

Callers::Callers(PlatformFleet& called, const SoakSettings& settings)
    : fleet(called) {
  for (std::size_t at = 0; at < settings.callers; ++at) {
    this->threads.emplace_back([this, at, &settings] {
      this->Run(at, MixBits(settings.seed) + at, settings.routers);
    });
  }
}

void Callers::Join() {
  this->stopping = true;
  for (std::thread& thread : this->threads) thread.join();
  this->threads.clear();
}

std::vector<Seen> Callers::Stop() {
  this->Join();
  return std::move(this->seen);
}

void Callers::Run(std::size_t number, std::uint64_t seed, std::size_t routers) {
  Random random(seed);
  for (std::uint64_t count = 0; !this->stopping; ++count) {
    const std::string id =
        "caller-" + std::to_string(number) + "-" + std::to_string(count);
    const std::size_t router = random.Below(routers);
    Seen one = this->CallOnce(id, random(), router);
    const std::lock_guard lock(this->mutex);
    this->seen.push_back(std::move(one));
  }
}

Seen Callers::CallOnce(const std::string& id, std::uint64_t draw,
                       std::size_t router) {
  Seen one;
  one.id = id;
  one.router = router;
  one.kind = static_cast<RequestKind>(draw % 4);
  one.sent = Clock::now();
  switch (one.kind) {
    case RequestKind::kRead:
      one.answer = this->fleet.Plain(router, "/read/" + id, id);
      break;
    case RequestKind::kSign:
      one.answer = this->fleet.Plain(router, "/sign/" + id, id);
      break;
    case RequestKind::kSecondCustomer:
      one.answer = this->fleet.Plain(router, "/read/" + id, id,
                                     PlatformFleet::kOtherKey);
      break;
    case RequestKind::kStream: {
      // One in four leaves after some events.
      const std::uint64_t more = draw / 4;
      const std::size_t leave_after = more % 4 == 0 ? 1 + more / 4 % 10 : 0;
      EventStream stream =
          this->fleet.Stream(router, id, "/chat/one", leave_after);
      one.left = leave_after > 0;
      one.answer = std::move(stream.answer);
      one.events = std::move(stream.ids);
      break;
    }
  }
  return one;
}

}  // namespace toucanwharf::soak
