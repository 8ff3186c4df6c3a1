#include "toucanwharf/placement/unseen_load.h"

namespace toucanwharf::placement {

void AddUnseenLoad(const EngineModel& model, double answers,
                   std::vector<Engine>& engines) {
  double layers = 0;
  for (const Engine& engine : engines) layers += engine.layers.Count();
  if (layers == 0 || answers <= 0) return;
  const double answers_per_cover = answers * model.layers / layers;
  const double tokens = model.mean_prompt_tokens + model.mean_answer_tokens;
  for (Engine& engine : engines) {
    if (engine.layers.Count() == 0) continue;
    engine.answers += answers_per_cover;
    engine.token_layers += answers_per_cover * tokens * engine.layers.Count();
    if (engine.layers.begin == 0) {
      engine.first_stage_answers += answers_per_cover;
    }
  }
}

}  // namespace toucanwharf::placement
