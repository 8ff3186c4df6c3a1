#ifndef TOUCANWHARF_DAEMON_OPENAI_H_
#define TOUCANWHARF_DAEMON_OPENAI_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/daemon/refusal.h"
#include "toucanwharf/support/result.h"

/// The OpenAI-compatible shape of model requests and their answers, as text.
namespace toucanwharf::daemon {

/// Which of the two request shapes a caller used.
enum class CompletionShape { kChat, kText };

/// A parsed model request.
struct CompletionRequest {
  CompletionShape shape = CompletionShape::kChat;
  /// Name of a pipeline record.
  std::string model;
  /// The joined messages, or the prompt unchanged.
  std::string prompt;
  std::uint32_t max_tokens = 0;
  bool stream = false;
  bool has_seed = false;
  std::uint64_t seed = 0;

  friend bool operator==(const CompletionRequest&,
                         const CompletionRequest&) = default;
};

/// The request, or the refusal that describes its first problem.
using ParsedCompletion = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    CompletionRequest, Refusal, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Parses \p body, which may be any bytes. Thread safety: safe.
ParsedCompletion ParseCompletion(CompletionShape shape, std::string_view body);

/// Identifies one answer in the response format that its caller expects.
struct CompletionNaming {
  CompletionShape shape = CompletionShape::kChat;
  std::string id;
  std::string model;
  std::uint64_t created_s = 0;

  friend bool operator==(const CompletionNaming&,
                         const CompletionNaming&) = default;
};

/// Returns the data of the stream event for one token. Its member
/// `index_in_answer` is the position from which a caller can resume.
/// Thread safety: safe.
std::string TokenChunk(const CompletionNaming& naming, std::uint32_t index,
                       std::string_view text);

/// Returns the data of the last event before `[DONE]`. Thread safety: safe.
std::string FinishChunk(const CompletionNaming& naming,
                        std::string_view finish_reason);

/// Returns the body of an answer that is not streamed. Thread safety: safe.
std::string WholeAnswer(const CompletionNaming& naming,
                        const std::vector<std::string>& tokens,
                        std::uint32_t prompt_tokens,
                        std::string_view finish_reason);

/// Returns a rough count of the tokens of \p text: a quarter of its bytes.
/// Thread safety: safe.
std::uint32_t EstimateTokens(std::string_view text);

}  // namespace toucanwharf::daemon

#endif  // TOUCANWHARF_DAEMON_OPENAI_H_
