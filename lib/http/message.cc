#include "toucanwharf/http/message.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace toucanwharf::http {
namespace {

/// Hop-by-hop fields (RFC 9110, 7.6.1), and Content-Length.
constexpr std::array<std::string_view, 9> kHopByHopFields = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",    "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect"};

absl::string_view ToAbsl(std::string_view text) {
  return absl::string_view(text.data(), text.size());
}

bool Contains(const std::vector<std::string>& names, std::string_view name) {
  return std::any_of(names.begin(), names.end(), [&](const auto& listed) {
    return EqualIgnoringCase(listed, name);
  });
}

std::vector<std::string> ConnectionOptions(const Headers& headers) {
  std::vector<std::string> names;
  for (const auto& [name, value] : headers) {
    if (!EqualIgnoringCase(name, "Connection")) continue;
    for (const absl::string_view part : absl::StrSplit(value, ',')) {
      names.emplace_back(absl::StripAsciiWhitespace(part));
    }
  }
  return names;
}

std::string PercentDecoded(std::string_view text) {
  constexpr int kHex = 16;
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size()) {
      const char* first = text.data() + i + 1;
      const auto [end, error] = std::from_chars(first, first + 2, value, kHex);
      if (error == std::errc() && end == first + 2) {
        decoded.push_back(static_cast<char>(value));
        i += 2;
        continue;
      }
    }
    decoded.push_back(text[i] == '+' ? ' ' : text[i]);
  }
  return decoded;
}

}  // namespace

bool EqualIgnoringCase(std::string_view left, std::string_view right) {
  return absl::EqualsIgnoreCase(ToAbsl(left), ToAbsl(right));
}

void Headers::Set(std::string_view name, std::string value) {
  this->Remove(name);
  this->fields.emplace_back(std::string(name), std::move(value));
}

void Headers::Remove(std::string_view name) {
  std::erase_if(this->fields, [&](const Field& field) {
    return EqualIgnoringCase(field.first, name);
  });
}

std::optional<std::string_view> Headers::Find(std::string_view name) const {
  for (const auto& [field, value] : this->fields) {
    if (EqualIgnoringCase(field, name)) return value;
  }
  return std::nullopt;
}

std::vector<std::string_view> Headers::FindAll(std::string_view name) const {
  std::vector<std::string_view> values;
  for (const auto& [field, value] : this->fields) {
    if (EqualIgnoringCase(field, name)) values.emplace_back(value);
  }
  return values;
}

std::size_t Headers::HeapBytes() const {
  // A string is allocated only beyond what the object itself holds.
  static const std::size_t kInside = std::string().capacity();
  std::size_t bytes = this->fields.capacity() * sizeof(Field);
  for (const auto& [name, value] : this->fields) {
    if (name.capacity() > kInside) bytes += name.capacity();
    if (value.capacity() > kInside) bytes += value.capacity();
  }
  return bytes;
}

Headers EndToEnd(const Headers& headers) {
  const auto named = ConnectionOptions(headers);
  Headers end_to_end;
  for (const auto& [name, value] : headers) {
    const std::string_view field = name;
    const bool hop = std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(),
                                 [&](std::string_view known) {
                                   return EqualIgnoringCase(known, field);
                                 });
    if (!hop && !Contains(named, field)) end_to_end.Add(name, value);
  }
  return end_to_end;
}

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string QueryValue(std::string_view target, std::string_view name) {
  const std::size_t mark = target.find('?');
  if (mark == std::string_view::npos) return {};
  const std::string_view query = target.substr(mark + 1);
  for (const absl::string_view pair : absl::StrSplit(ToAbsl(query), '&')) {
    const std::size_t equals = pair.find('=');
    const absl::string_view key = pair.substr(0, equals);
    if (std::string_view(key.data(), key.size()) != name) continue;
    if (equals == absl::string_view::npos) return {};
    const absl::string_view value = pair.substr(equals + 1);
    return PercentDecoded({value.data(), value.size()});
  }
  return {};
}

}  // namespace toucanwharf::http
