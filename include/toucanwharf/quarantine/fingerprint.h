#ifndef TOUCANWHARF_QUARANTINE_FINGERPRINT_H_
#define TOUCANWHARF_QUARANTINE_FINGERPRINT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace toucanwharf::quarantine {

/// What a fingerprint stands for.
enum class FingerprintKind : std::uint8_t {
  /// A request whatever its id.
  kRequest,
  /// A part of prompts that requests share, whatever else they hold.
  kPromptPart,
};

/// Stands for something that may crash endpoints. The content is hashed
/// cryptographically, so that no caller can make a request with the fingerprint
/// of another customer's.
struct Fingerprint {
  /// Stands for the customer; 0 for a part of a prompt.
  std::uint32_t customer = 0;
  /// Stands for the customer, the method, the target and the body, or for the
  /// part.
  std::uint64_t content = 0;
  FingerprintKind kind = FingerprintKind::kRequest;

  friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
  /// Hashes for absl's containers.
  template <typename H>
  friend H AbslHashValue(H state, const Fingerprint& fingerprint) {
    return H::combine(std::move(state), fingerprint.content);
  }
};

/// The fingerprints of all in a request that may crash endpoints.
struct RequestFingerprints {
  Fingerprint request;
  /// The parts of its prompt that other requests may share.
  std::vector<Fingerprint> parts;

  friend bool operator==(const RequestFingerprints&,
                         const RequestFingerprints&) = default;
};

/// Parts of a request that a repeat of it has in common.
struct RequestContent {
  std::string_view customer;
  std::string_view method;
  std::string_view target;
  std::string_view body;

  friend bool operator==(const RequestContent&,
                         const RequestContent&) = default;
};

/// Precondition: only the body contains line breaks. Thread safety: safe.
Fingerprint FingerprintOf(const RequestContent& content);

/// Returns the fingerprints of the parts that requests share, from \p list: the
/// parts of a prompt in order, each as ID or ID:TOKENS, separated by commas.
/// The last part is the request's own. Different spellings of an id in upper
/// and lower case are the same; at most kMaxSharedParts count. Thread safety:
/// safe.
std::vector<Fingerprint> FingerprintsOfSharedParts(std::string_view list);
constexpr std::size_t kMaxSharedParts = 16;

/// Returns \p fingerprint as "CUSTOMER-CONTENT" in hexadecimal digits, that of
/// a part of a prompt as "part-CONTENT". Thread safety: safe.
std::string ToText(const Fingerprint& fingerprint);
/// Parses what ToText returns; returns nothing for any other text.
/// Thread safety: safe.
std::optional<Fingerprint> FingerprintFromText(std::string_view text);

}  // namespace toucanwharf::quarantine

#endif  // TOUCANWHARF_QUARANTINE_FINGERPRINT_H_
