#include "toucanwharf/placement/unseen_load.h"

#include <boost/test/unit_test.hpp>

namespace toucanwharf::placement {
namespace {

// Instances that don't hear of one another yet promise the same capacity to
// their callers.
BOOST_AUTO_TEST_CASE(UnseenAnswersAreSpreadOverTheCovers) {
  EngineModel model;
  model.layers = 80;
  model.mean_prompt_tokens = 700;
  model.mean_answer_tokens = 300;
  std::vector<Engine> engines(4);
  engines[0].layers = {0, 80};
  engines[1].layers = {0, 30};
  engines[2].layers = {30, 80};
  engines[2].token_layers = 7;
  AddUnseenLoad(model, 10, engines);
  BOOST_TEST(engines[0].first_stage_answers == 5);
  BOOST_TEST(engines[0].token_layers == 5 * 1000 * 80);
  BOOST_TEST(engines[1].token_layers == 5 * 1000 * 30);
  BOOST_TEST(engines[2].token_layers == 7 + 5 * 1000 * 50);
  BOOST_TEST(engines[2].first_stage_answers == 0);
  BOOST_TEST(engines[3].answers == 0);
  AddUnseenLoad(model, 0, engines);
  BOOST_TEST(engines[1].answers == 5);
}

}  // namespace
}  // namespace toucanwharf::placement
