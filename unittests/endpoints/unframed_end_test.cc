#include "toucanwharf/endpoints/unframed_end.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::endpoints {
namespace {

constexpr std::uint64_t kStartMs = 1000;
constexpr std::uint64_t kNextStartMs = 2000;

Endpoint ListedEndpoint() {
  Endpoint endpoint;
  endpoint.id = "engine";
  endpoint.start_time_ms = kStartMs;
  return endpoint;
}

// Guards against a part of an answer that is relayed as the whole, because its
// endpoint was back under its id before the end was read (I2).
BOOST_AUTO_TEST_CASE(AnswerOfAnEarlierStartIsBroken) {
  const std::uint32_t key = EndpointKey(ListedEndpoint());
  Endpoint restarted = ListedEndpoint();
  restarted.start_time_ms = kNextStartMs;
  const auto meaning = MeaningOfEnd(key, &restarted, {false, kNextStartMs});
  BOOST_TEST((meaning == UnframedEnd::kBroken));
}

// Guards against the same where the list doesn't tell of the new start yet, or
// of the crash.
BOOST_AUTO_TEST_CASE(AnswerOfAnEndpointThatCrashedIsBroken) {
  const Endpoint listed = ListedEndpoint();
  const std::uint32_t key = EndpointKey(listed);
  for (const AfterEnd& after :
       {AfterEnd{true, std::nullopt}, AfterEnd{false, kNextStartMs}}) {
    BOOST_TEST((MeaningOfEnd(key, &listed, after) == UnframedEnd::kBroken));
  }
}

// Guards against whole answers being run once more: of an endpoint that goes
// on, one that leaves, one that doesn't respond, and one of which nothing is
// known any more.
BOOST_AUTO_TEST_CASE(WholeAnswerIsNotBroken) {
  const Endpoint listed = ListedEndpoint();
  const std::uint32_t key = EndpointKey(listed);
  Endpoint leaving = listed;
  leaving.state = EndpointState::kDraining;
  const AfterEnd goes_on{false, kStartMs};
  const AfterEnd gone{true, std::nullopt};
  BOOST_TEST((MeaningOfEnd(key, &listed, goes_on) == UnframedEnd::kWhole));
  BOOST_TEST((MeaningOfEnd(key, &leaving, goes_on) == UnframedEnd::kWhole));
  BOOST_TEST((MeaningOfEnd(key, &leaving, gone) == UnframedEnd::kUnknown));
  BOOST_TEST((MeaningOfEnd(key, &listed, {}) == UnframedEnd::kUnknown));
  BOOST_TEST((MeaningOfEnd(key, nullptr, gone) == UnframedEnd::kUnknown));
}

}  // namespace
}  // namespace toucanwharf::endpoints
