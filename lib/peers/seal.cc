#include "toucanwharf/peers/seal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace toucanwharf::peers {
namespace {

std::string Hmac(std::string_view key, const std::string& text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &length);
  return {reinterpret_cast<const char*>(digest.data()), length};
}

/// Appends \p part with its length, so that different lists of parts never
/// give the same text.
void Append(std::string& text, std::string_view part) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

}  // namespace

std::string SealRequest(std::string_view key, std::string_view call,
                        std::string_view body) {
  std::string text = "request ";
  Append(text, call);
  Append(text, body);
  return Hmac(key, text);
}

std::string SealAnswer(std::string_view key, std::string_view request_seal,
                       std::uint64_t part, std::string_view body) {
  std::string text = "answer ";
  Append(text, request_seal);
  Append(text, std::to_string(part));
  Append(text, body);
  return Hmac(key, text);
}

bool SameSeal(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace toucanwharf::peers
