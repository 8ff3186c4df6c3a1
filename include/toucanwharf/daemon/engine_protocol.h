#ifndef TOUCANWHARF_DAEMON_ENGINE_PROTOCOL_H_
#define TOUCANWHARF_DAEMON_ENGINE_PROTOCOL_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "toucanwharf/pipeline/answer.h"

/// The engines' HTTP protocol (docs/PROTOCOLS.md) as text, without I/O.
namespace toucanwharf::daemon {

/// Returns the body of `POST /v1/generate` for one attempt.
/// Thread safety: safe.
std::string GenerateBody(const pipeline::AnswerRequest& request,
                         const std::string& prompt, std::uint64_t seed,
                         const pipeline::StartAttempt& start);

/// Returns the body of `POST /v1/cancel`. Thread safety: safe.
std::string CancelBody(const std::string& request, std::uint32_t attempt);

/// Parses one event of an engine's stream, which may be any bytes, into a token
/// or a failure of attempt \p attempt. Thread safety: safe.
pipeline::Event ParseEngineEvent(std::uint32_t attempt, std::string_view data);

/// Returns whether an engine's refusal reports that nothing ran.
/// Thread safety: safe.
bool ReportsNotRun(std::string_view body);

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_ENGINE_PROTOCOL_H_
