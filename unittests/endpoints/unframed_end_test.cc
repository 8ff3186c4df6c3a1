#include "toucanwharf/endpoints/unframed_end.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::endpoints {
namespace {

constexpr std::uint64_t kStartMs = 1000;
constexpr std::uint64_t kNextStartMs = 2000;

// Guards against a part of an answer that is relayed as the whole, whether its
// endpoint is gone, has left the list, or is back under its id (I2).
BOOST_AUTO_TEST_CASE(AnswerOfAnEndpointThatCrashedIsBroken) {
  const AfterEnd refused{true, std::nullopt};
  const AfterEnd back{false, kNextStartMs};
  BOOST_TEST((MeaningOfEnd(kStartMs, refused) == UnframedEnd::kBroken));
  BOOST_TEST((MeaningOfEnd(kStartMs, back) == UnframedEnd::kBroken));
}

// Guards against whole answers being run once more.
BOOST_AUTO_TEST_CASE(AnswerOfAnEndpointThatGoesOnIsWhole) {
  const AfterEnd goes_on{false, kStartMs};
  const AfterEnd refused_once{true, kStartMs};
  BOOST_TEST((MeaningOfEnd(kStartMs, goes_on) == UnframedEnd::kWhole));
  BOOST_TEST((MeaningOfEnd(kStartMs, refused_once) == UnframedEnd::kWhole));
  BOOST_TEST((MeaningOfEnd(kStartMs, {}) == UnframedEnd::kUnknown));
}

// Guards against a whole answer that is given up because nobody knows when its
// endpoint started.
BOOST_AUTO_TEST_CASE(EndOfAnEndpointOfUnknownStartIsBrokenOnlyIfRefused) {
  const AfterEnd refused{true, std::nullopt};
  const AfterEnd answers{false, kStartMs};
  BOOST_TEST((MeaningOfEnd(0, refused) == UnframedEnd::kBroken));
  BOOST_TEST((MeaningOfEnd(0, answers) == UnframedEnd::kUnknown));
}

}  // namespace
}  // namespace toucanwharf::endpoints
