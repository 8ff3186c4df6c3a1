#include "standins/token_model.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace toucanwharf::standins {
namespace {

constexpr std::uint32_t kLayers = 8;

const Weights kWeights{"m", "v1", ""};

RC_BOOST_PROP(AnySplitOfTheLayersGivesTheSameState,
              (std::uint64_t state, std::uint64_t weights)) {
  const auto cut = *rc::gen::inRange<std::uint32_t>(0, kLayers + 1);
  const std::uint64_t half = RunLayers(state, 0, cut, weights);
  RC_ASSERT(RunLayers(half, cut, kLayers, weights) ==
            RunLayers(state, 0, kLayers, weights));
}

RC_BOOST_PROP(WrongLayersChangeTheState,
              (std::uint64_t state, std::uint64_t weights)) {
  const auto layer = *rc::gen::inRange<std::uint32_t>(0, kLayers);
  const std::uint64_t right = RunLayers(state, 0, kLayers, weights);
  const std::uint64_t before = RunLayers(state, 0, layer, weights);
  RC_ASSERT(RunLayers(before, layer + 1, kLayers, weights) != right);
  const std::uint64_t twice = RunLayers(before, layer, layer + 1, weights);
  RC_ASSERT(RunLayers(twice, layer, kLayers, weights) != right);
}

RC_BOOST_PROP(ResumedAnswerEqualsTheUninterrupted,
              (std::uint64_t seed, const std::string& prompt)) {
  const auto whole = ExpectedTokens(kWeights, kLayers, seed, prompt, 12);
  const auto kept = *rc::gen::inRange<std::size_t>(0, whole.size());
  std::vector<std::string> tokens = whole;
  tokens.resize(kept);
  while (tokens.size() < whole.size()) {
    const std::uint64_t first = InitialState(seed, prompt, tokens);
    tokens.push_back(
        TokenOf(RunLayers(first, 0, kLayers, HashWeights(kWeights))));
  }
  RC_ASSERT(tokens == whole);
}

BOOST_AUTO_TEST_CASE(AnotherVersionOrAdapterGivesAnotherAnswer) {
  const auto right = ExpectedTokens(kWeights, kLayers, 7, "prompt", 16);
  const Weights version{"m", "v2", ""};
  const Weights adapter{"m", "v1", "a"};
  BOOST_TEST(right != ExpectedTokens(version, kLayers, 7, "prompt", 16));
  BOOST_TEST(right != ExpectedTokens(adapter, kLayers, 7, "prompt", 16));
  BOOST_TEST(right != ExpectedTokens(kWeights, kLayers, 8, "prompt", 16));
}

}  // namespace
}  // namespace toucanwharf::standins
