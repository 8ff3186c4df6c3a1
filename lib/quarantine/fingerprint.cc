#include "toucanwharf/quarantine/fingerprint.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "toucanwharf/support/ids.h"

namespace toucanwharf::quarantine {

Fingerprint FingerprintOf(const RequestContent& content) {
  std::string text;
  for (const std::string_view part :
       {content.customer, content.method, content.target}) {
    text.append(part).push_back('\n');
  }
  text.append(content.body);
  constexpr std::size_t kDigits = 16;
  Fingerprint fingerprint;
  (void)absl::SimpleHexAtoi(Sha256Hex(text).substr(0, kDigits),
                            &fingerprint.value);
  return fingerprint;
}

std::string ToText(Fingerprint fingerprint) {
  return absl::StrFormat("%016x", fingerprint.value);
}

}  // namespace toucanwharf::quarantine
