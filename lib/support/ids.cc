#include "toucanwharf/support/ids.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <cassert>
#include <cstddef>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include "toucanwharf/support/clock.h"
#include "toucanwharf/support/random.h"

namespace toucanwharf {
namespace {

constexpr std::size_t kIdLength = 36;
constexpr std::uint64_t kMillisMask = 0xffffffffffffULL;

std::uint64_t SecureWord() {
  std::uint64_t word = 0;
  const int status =
      RAND_bytes(reinterpret_cast<unsigned char*>(&word), sizeof(word));
  assert(status == 1 && "the system's random source must not fail");
  static_cast<void>(status);
  return word;
}

/// Returns the last 32 bits of ids of \p origin.
std::uint32_t OriginBits(std::string_view origin) {
  return static_cast<std::uint32_t>(HashText(origin));
}

bool HasUuidV7Form(std::string_view id) {
  if (id.size() != kIdLength) return false;
  for (std::size_t i = 0; i < id.size(); ++i) {
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const char digit = id[i];
    const bool hex =
        (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
    if (dash ? digit != '-' : !hex) return false;
  }
  return id[14] == '7';
}

}  // namespace

std::string NewId() { return IdFrom(WallMillis(), SecureWord(), SecureWord()); }

std::string NewIdOf(std::string_view origin) {
  const std::uint64_t random = SecureWord() & ~std::uint64_t{UINT32_MAX};
  return IdFrom(WallMillis(), SecureWord(), random | OriginBits(origin));
}

bool IsIdOf(std::string_view id, std::string_view origin) {
  if (!HasUuidV7Form(id)) return false;
  constexpr std::size_t kOriginDigits = 8;
  return id.substr(id.size() - kOriginDigits) ==
         absl::StrFormat("%08x", OriginBits(origin));
}

std::string IdFrom(std::uint64_t millis, std::uint64_t random_high,
                   std::uint64_t random_low) {
  const std::uint64_t time = millis & kMillisMask;
  const std::uint64_t version = 0x7000 | (random_high & 0x0fff);
  const std::uint64_t variant = 0x8000 | (random_low >> 50);
  const std::uint64_t node = random_low & kMillisMask;
  return absl::StrFormat("%08x-%04x-%04x-%04x-%012x", time >> 16, time & 0xffff,
                         version, variant, node);
}

std::optional<std::uint64_t> MillisOf(std::string_view id) {
  if (!HasUuidV7Form(id)) return std::nullopt;
  const std::string digits =
      std::string(id.substr(0, 8)) + std::string(id.substr(9, 4));
  std::uint64_t millis = 0;
  if (!absl::SimpleHexAtoi(digits, &millis)) return std::nullopt;
  return millis;
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(),
             nullptr);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest.data()), length));
}

}  // namespace toucanwharf
