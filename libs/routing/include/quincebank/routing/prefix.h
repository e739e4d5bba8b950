#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace quincebank {

/// Bytes of prompt text in one block.
inline constexpr std::size_t kPrefixBlockBytes = 1024;
/// Most blocks of a prompt that routing looks at.
inline constexpr std::size_t kMaxPrefixBlocks = 64;

/// \brief Chained hashes of the leading blocks of a prompt. It has a fixed size.
///
/// Hash n covers blocks 0 to n, so two prompts share hash n only if they share all text up to it.
struct prefix_hashes {
  std::array<std::uint64_t, kMaxPrefixBlocks> hash;
  std::uint32_t count = 0;

  [[nodiscard]] std::span<const std::uint64_t> view() const noexcept {
    return std::span(hash).first(count);
  }
};

/// \brief Hashes the whole blocks of a prompt; a partial last block counts if it is the only one.
///
/// \param scope  keeps prompts of different workspaces or models apart.
[[nodiscard]] prefix_hashes PrefixHashes(std::string_view scope, std::string_view prompt) noexcept;

}  // namespace quincebank
