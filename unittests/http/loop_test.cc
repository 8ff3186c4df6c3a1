#include "toucanwharf/http/loop.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>

namespace toucanwharf::http {
namespace {

/// Cancels a timer at its end, as a connection does.
class CancelsAtEnd {
 public:
  CancelsAtEnd(Loop& owner, TimerId pending) : loop(owner), timer(pending) {}
  ~CancelsAtEnd() { this->loop.Cancel(this->timer); }
  CancelsAtEnd(const CancelsAtEnd&) = delete;
  CancelsAtEnd& operator=(const CancelsAtEnd&) = delete;

 private:
  Loop& loop;
  TimerId timer;
};

// Guards against a process that crashes when it ends beside open connections.
BOOST_AUTO_TEST_CASE(LoopEndsBesideWhatCancelsTimers) {
  constexpr int kHolders = 1000;
  auto loop = std::make_unique<Loop>();
  for (int i = 0; i < kHolders; ++i) {
    const TimerId timer = loop->After(std::chrono::hours(1), [] {});
    const auto held = std::make_shared<CancelsAtEnd>(*loop, timer);
    loop->Post([held] {});
    loop->After(std::chrono::hours(2), [held] {});
  }
  loop.reset();
}

}  // namespace
}  // namespace toucanwharf::http
