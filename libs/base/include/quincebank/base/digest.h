#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quincebank {

/// \brief Returns the SHA-256 digest of the text as 64 hexadecimal digits.
[[nodiscard]] std::string Sha256Hex(std::string_view text);

/// \brief Hashes text to 64 bits. The value is the same in all builds and processes.
[[nodiscard]] constexpr std::uint64_t StableHash64(std::string_view text,
                                                   std::uint64_t seed = 0) noexcept {
  std::uint64_t hash = 0xcbf29ce484222325ULL ^ seed;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001b3ULL;
  }
  hash ^= hash >> 32U;
  hash *= 0x9e3779b97f4a7c15ULL;
  return hash ^ (hash >> 29U);
}

/// \brief Decodes standard base64 with padding; nothing if the text is malformed.
[[nodiscard]] std::optional<std::string> Base64Decode(std::string_view text);
[[nodiscard]] std::string Base64Encode(std::string_view bytes);

}  // namespace quincebank
