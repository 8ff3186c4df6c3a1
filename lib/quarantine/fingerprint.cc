#include "toucanwharf/quarantine/fingerprint.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "toucanwharf/support/ids.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::quarantine {
namespace {

constexpr std::size_t kCustomerDigits = 8;
constexpr std::size_t kContentDigits = 16;

}  // namespace

Fingerprint FingerprintOf(const RequestContent& content) {
  std::string text;
  for (const std::string_view part :
       {content.customer, content.method, content.target}) {
    text.append(part).push_back('\n');
  }
  text.append(content.body);
  Fingerprint fingerprint;
  fingerprint.customer = static_cast<std::uint32_t>(HashText(content.customer));
  (void)absl::SimpleHexAtoi(Sha256Hex(text).substr(0, kContentDigits),
                            &fingerprint.content);
  return fingerprint;
}

std::string ToText(const Fingerprint& fingerprint) {
  return absl::StrFormat("%08x-%016x", fingerprint.customer,
                         fingerprint.content);
}

std::optional<Fingerprint> FingerprintFromText(std::string_view text) {
  constexpr std::size_t kLength = kCustomerDigits + 1 + kContentDigits;
  if (text.size() != kLength || text[kCustomerDigits] != '-') {
    return std::nullopt;
  }
  Fingerprint parsed;
  const std::string customer(text.substr(0, kCustomerDigits));
  const std::string content(text.substr(kCustomerDigits + 1));
  const bool valid = absl::SimpleHexAtoi(customer, &parsed.customer) &&
                     absl::SimpleHexAtoi(content, &parsed.content);
  // The parser also accepts a sign and a prefix.
  if (!valid || ToText(parsed) != text) return std::nullopt;
  return parsed;
}

}  // namespace toucanwharf::quarantine
