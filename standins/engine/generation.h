#ifndef TOUCANWHARF_STANDINS_ENGINE_GENERATION_H_
#define TOUCANWHARF_STANDINS_ENGINE_GENERATION_H_

#include <nlohmann/json.hpp>

#include "standins/common/http_server.h"
#include "standins/engine/engine.h"

namespace toucanwharf::standins {

/// Handles `POST /v1/generate` on the engine of the first stage: refuses, or
/// waits for a slot and streams one event per token.
/// Thread safety: safe.
HttpReply StartGeneration(Engine& engine, const nlohmann::json& body);

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_ENGINE_GENERATION_H_
