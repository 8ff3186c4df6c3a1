#ifndef TOUCANWHARF_STANDINS_TOKEN_MODEL_H_
#define TOUCANWHARF_STANDINS_TOKEN_MODEL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "toucanwharf/support/random.h"

/// The arithmetic that the stand-in engines compute instead of a model. Each
/// token depends on the seed, the prompt, all earlier tokens and on every
/// layer in order, so a layer that is skipped, run twice, reordered or of
/// another version changes the text. Tests and the load tool compute the
/// expected answer with the same functions. All of them are pure.
namespace toucanwharf::standins {

/// Identifies the weights, which with a layer's index determine its result.
struct Weights {
  std::string model;
  std::string version;
  /// Empty for none.
  std::string adapter;

  friend bool operator==(const Weights&, const Weights&) = default;
};

/// Returns the FNV-1a hash of \p text, the same on every machine.
constexpr std::uint64_t HashText(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3ULL;
  }
  return hash;
}

/// Mixes \p value into \p state. The result depends on the order of calls.
constexpr std::uint64_t Fold(std::uint64_t state, std::uint64_t value) {
  return MixBits(state * 0x100000001b3ULL + MixBits(value));
}

/// Returns the hash of \p weights that RunLayers mixes in for each layer.
inline std::uint64_t HashWeights(const Weights& weights) {
  return HashText(weights.model + '\0' + weights.version + '\0' +
                  weights.adapter);
}

/// Returns the state before layer 0 of token \p tokens.size().
inline std::uint64_t InitialState(std::uint64_t seed, std::string_view prompt,
                                  const std::vector<std::string>& tokens) {
  std::uint64_t state = Fold(seed, HashText(prompt));
  for (const std::string& token : tokens) state = Fold(state, HashText(token));
  return Fold(state, tokens.size());
}

/// Returns the state after the layers from \p begin up to but not including
/// \p end. \p weights is what HashWeights returned.
constexpr std::uint64_t RunLayers(std::uint64_t state, std::uint32_t begin,
                                  std::uint32_t end, std::uint64_t weights) {
  for (std::uint32_t layer = begin; layer < end; ++layer) {
    state = Fold(Fold(state, layer), weights);
  }
  return state;
}

/// Returns the token for \p state, the state after the last layer.
inline std::string TokenOf(std::uint64_t state) {
  static constexpr std::array<std::string_view, 64> kWords = {
      "the",     "batch",   "is",      "released", "after",  "a",
      "check",   "of",      "master",  "formula",  "no",     "deviation",
      "was",     "found",   "in",      "cabinet",  "needs",  "two",
      "coats",   "on",      "north",   "side",     "serum",  "passes",
      "assay",   "and",     "with",    "seal",     "intact", "hinge",
      "rust",    "before",  "paint",   "dries",    "lot",    "cream",
      "kohl",    "argan",   "blue",    "green",    "primer", "label",
      "matches", "record",  "signed",  "pending",  "next",   "round",
      "street",  "corner",  "pallet",  "dock",     "ready",  "for",
      "pickup",  "at",      "noon",    "quality",  "note",   "within",
      "limits",  "viscous", "neutral", "complete"};
  return " " + std::string(kWords.at(state % kWords.size()));
}

/// Returns the first \p count tokens that a model of \p layers layers with
/// \p weights generates for \p prompt and \p seed.
inline std::vector<std::string> ExpectedTokens(const Weights& weights,
                                               std::uint32_t layers,
                                               std::uint64_t seed,
                                               std::string_view prompt,
                                               std::size_t count) {
  const std::uint64_t hash = HashWeights(weights);
  std::vector<std::string> tokens;
  while (tokens.size() < count) {
    const std::uint64_t first = InitialState(seed, prompt, tokens);
    tokens.push_back(TokenOf(RunLayers(first, 0, layers, hash)));
  }
  return tokens;
}

/// Overload that takes the parts of Weights as separate arguments.
inline std::vector<std::string> ExpectedTokens(
    const std::string& model, const std::string& version,
    const std::string& adapter, std::uint32_t layers, std::uint64_t seed,
    std::string_view prompt, std::size_t count) {
  return ExpectedTokens(Weights{model, version, adapter}, layers, seed, prompt,
                        count);
}

/// Bytes of prompt text that the stand-ins count as one token.
inline constexpr std::size_t kBytesPerToken = 4;

/// Bytes of prompt text in one block of the prefix cache.
inline constexpr std::size_t kPrefixBlockBytes = 256;

/// Returns the number of tokens that prefill of \p prompt processes.
constexpr std::uint64_t PromptTokens(std::string_view prompt) {
  return (prompt.size() + kBytesPerToken - 1) / kBytesPerToken;
}

/// Returns the hash of each whole-block prefix of \p prompt, shortest first;
/// cache events name them in 16 hexadecimal digits.
inline std::vector<std::uint64_t> PrefixHashes(std::string_view prompt) {
  std::vector<std::uint64_t> hashes;
  for (std::size_t size = kPrefixBlockBytes; size <= prompt.size();
       size += kPrefixBlockBytes) {
    hashes.push_back(HashText(prompt.substr(0, size)));
  }
  return hashes;
}

}  // namespace toucanwharf::standins

#endif  // TOUCANWHARF_STANDINS_TOKEN_MODEL_H_
