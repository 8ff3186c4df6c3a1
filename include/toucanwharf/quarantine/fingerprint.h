#ifndef TOUCANWHARF_QUARANTINE_FINGERPRINT_H_
#define TOUCANWHARF_QUARANTINE_FINGERPRINT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace toucanwharf::quarantine {

/// Stands for a request whatever its id. The content is hashed
/// cryptographically, so that no caller can make a request with the fingerprint
/// of another customer's.
struct Fingerprint {
  /// Stands for the customer.
  std::uint32_t customer = 0;
  /// Stands for the customer, the method, the target and the body.
  std::uint64_t content = 0;

  friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
  /// Hashes for absl's containers.
  template <typename H>
  friend H AbslHashValue(H state, const Fingerprint& fingerprint) {
    return H::combine(std::move(state), fingerprint.content);
  }
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

/// Returns \p fingerprint as "CUSTOMER-CONTENT" in hexadecimal digits.
/// Thread safety: safe.
std::string ToText(const Fingerprint& fingerprint);
/// Parses what ToText returns; returns nothing for any other text.
/// Thread safety: safe.
std::optional<Fingerprint> FingerprintFromText(std::string_view text);

}  // namespace toucanwharf::quarantine

#endif  // TOUCANWHARF_QUARANTINE_FINGERPRINT_H_
