#include "quincebank/base/digest.h"

#include <openssl/evp.h>

#include <array>

namespace quincebank {

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * static_cast<std::size_t>(size));
  for (unsigned int i = 0; i < size; ++i) {
    hex += kDigits[digest.at(i) >> 4U];
    hex += kDigits[digest.at(i) & 0xfU];
  }
  return hex;
}

std::optional<std::string> Base64Decode(std::string_view text) {
  if (text.size() % 4 != 0)
    return std::nullopt;
  std::string bytes(text.size() / 4 * 3, '\0');
  const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                   reinterpret_cast<const unsigned char*>(text.data()),
                                   static_cast<int>(text.size()));
  if (size < 0)
    return std::nullopt;
  // EVP_DecodeBlock counts the padding as zero bytes.
  std::size_t padding = 0;
  while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
    ++padding;
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

std::string Base64Encode(std::string_view bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(bytes.data()),
                                   static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

}  // namespace quincebank
