#ifndef TOUCANWHARF_QUARANTINE_FINGERPRINT_H_
#define TOUCANWHARF_QUARANTINE_FINGERPRINT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace toucanwharf::quarantine {

/// Stands for the content of a request, whatever its id: the customer, the
/// method, the target and the body. Cryptographic, so that no caller can make a
/// request that shares the fingerprint of another customer's.
struct Fingerprint {
  std::uint64_t value = 0;

  friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
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

/// Returns \p fingerprint as 16 hexadecimal digits. Thread safety: safe.
std::string ToText(Fingerprint fingerprint);

}  // namespace toucanwharf::quarantine

#endif  // TOUCANWHARF_QUARANTINE_FINGERPRINT_H_
