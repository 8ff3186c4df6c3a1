#include <boost/test/unit_test.hpp>
#include <numeric>

#include "test/soak/checks.h"

namespace toucanwharf::soak {
namespace {

Seen Answered(const std::string& id, RequestKind kind) {
  Seen one;
  one.id = id;
  one.kind = kind;
  one.sent = Clock::now();
  one.answer.status = 200;
  one.answer.complete = true;
  one.answer.body = "ran at plain-0";
  one.answer.headers = {{"x-request-id", id}, {"x-server-stamp", "stamp"}};
  if (kind == RequestKind::kStream) {
    one.events.resize(standins::fleet::Endpoints::kEvents);
    std::iota(one.events.begin(), one.events.end(), 1);
  }
  return one;
}

std::vector<standins::fleet::Run> Runs(const std::string& id, int count) {
  standins::fleet::Run run;
  run.request_id = id;
  return std::vector<standins::fleet::Run>(static_cast<std::size_t>(count),
                                           run);
}

// The soak is worth only what its checks see; each is shown a broken promise.
BOOST_AUTO_TEST_CASE(WholeAnswersBreakNothing) {
  const Seen read = Answered("r", RequestKind::kRead);
  const Seen stream = Answered("s", RequestKind::kStream);
  auto runs = Runs("r", 2);
  runs.push_back(Runs("s", 1).front());
  BOOST_TEST(BrokenPromises({read, stream}, runs, {}).empty());
}

BOOST_AUTO_TEST_CASE(SignatureThatRanTwiceIsSeen) {
  const Seen sign = Answered("x", RequestKind::kSign);
  BOOST_TEST(BrokenPromises({sign}, Runs("x", 1), {}).empty());
  BOOST_TEST(BrokenPromises({sign}, Runs("x", 2), {}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RefusalOfWhatRanIsSeen) {
  Seen sign = Answered("x", RequestKind::kSign);
  sign.answer.status = 503;
  BOOST_TEST(BrokenPromises({sign}, Runs("x", 0), {}).empty());
  BOOST_TEST(BrokenPromises({sign}, Runs("x", 1), {}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(MissingAndForeignEventsAreSeen) {
  Seen stream = Answered("x", RequestKind::kStream);
  stream.events.pop_back();
  BOOST_TEST(BrokenPromises({stream}, Runs("x", 1), {}).size() == 1U);
  stream.answer.complete = false;
  BOOST_TEST(BrokenPromises({stream}, Runs("x", 1), {}).empty());
  stream.events[3] = 9;
  BOOST_TEST(BrokenPromises({stream}, Runs("x", 1), {}).size() == 1U);
  Seen other = Answered("x", RequestKind::kRead);
  other.answer.headers["x-request-id"] = "y";
  BOOST_TEST(BrokenPromises({other}, Runs("x", 1), {}).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RunWithARevokedKeyIsSeen) {
  const Seen read = Answered("x", RequestKind::kSecondCustomer);
  const Revoked late{read.sent - kRevocationBound / 2,
                     Clock::time_point::max()};
  const Revoked early{read.sent - 2 * kRevocationBound,
                      Clock::time_point::max()};
  BOOST_TEST(BrokenPromises({read}, Runs("x", 1), {late}).empty());
  BOOST_TEST(BrokenPromises({read}, Runs("x", 1), {early}).size() == 1U);
}

}  // namespace
}  // namespace toucanwharf::soak
