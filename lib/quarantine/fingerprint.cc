#include "toucanwharf/quarantine/fingerprint.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "toucanwharf/support/ids.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf::quarantine {
namespace {

constexpr std::size_t kCustomerDigits = 8;
constexpr std::size_t kContentDigits = 16;

constexpr std::string_view kPartPrefix = "part-";

std::uint64_t HashContent(const std::string& text) {
  std::uint64_t content = 0;
  (void)absl::SimpleHexAtoi(Sha256Hex(text).substr(0, kContentDigits),
                            &content);
  return content;
}

Fingerprint FingerprintOfPart(std::string_view part) {
  const absl::string_view id(part.data(),
                             std::min(part.find(':'), part.size()));
  Fingerprint fingerprint;
  fingerprint.kind = FingerprintKind::kPromptPart;
  fingerprint.content =
      HashContent(absl::AsciiStrToLower(absl::StripAsciiWhitespace(id)));
  return fingerprint;
}

std::optional<Fingerprint> PartFromText(std::string_view text) {
  const std::string content(text.substr(kPartPrefix.size()));
  Fingerprint parsed;
  parsed.kind = FingerprintKind::kPromptPart;
  if (!absl::SimpleHexAtoi(content, &parsed.content)) return std::nullopt;
  return parsed;
}

std::optional<Fingerprint> RequestFromText(std::string_view text) {
  constexpr std::size_t kLength = kCustomerDigits + 1 + kContentDigits;
  if (text.size() != kLength || text[kCustomerDigits] != '-') {
    return std::nullopt;
  }
  Fingerprint parsed;
  const std::string customer(text.substr(0, kCustomerDigits));
  const std::string content(text.substr(kCustomerDigits + 1));
  const bool valid = absl::SimpleHexAtoi(customer, &parsed.customer) &&
                     absl::SimpleHexAtoi(content, &parsed.content);
  if (!valid) return std::nullopt;
  return parsed;
}

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
  fingerprint.content = HashContent(text);
  return fingerprint;
}

std::vector<Fingerprint> FingerprintsOfSharedParts(std::string_view list) {
  std::vector<Fingerprint> parts;
  for (std::size_t comma = list.find(',');
       comma != std::string_view::npos && parts.size() < kMaxSharedParts;
       comma = list.find(',')) {
    const Fingerprint part = FingerprintOfPart(list.substr(0, comma));
    list.remove_prefix(comma + 1);
    const bool repeated =
        std::find(parts.begin(), parts.end(), part) != parts.end();
    if (!repeated) parts.push_back(part);
  }
  return parts;
}

std::string ToText(const Fingerprint& fingerprint) {
  if (fingerprint.kind == FingerprintKind::kPromptPart) {
    return absl::StrCat(
        absl::string_view(kPartPrefix.data(), kPartPrefix.size()),
        absl::Hex(fingerprint.content, absl::kZeroPad16));
  }
  return absl::StrFormat("%08x-%016x", fingerprint.customer,
                         fingerprint.content);
}

std::optional<Fingerprint> FingerprintFromText(std::string_view text) {
  const auto parsed = text.starts_with(kPartPrefix) ? PartFromText(text)
                                                    : RequestFromText(text);
  // The parser also accepts a sign, a prefix and other lengths.
  if (!parsed || ToText(*parsed) != text) return std::nullopt;
  return parsed;
}

}  // namespace toucanwharf::quarantine
