#include "quincebank/routing/prefix.h"

#include <algorithm>

#include "quincebank/base/digest.h"

namespace quincebank {

prefix_hashes PrefixHashes(std::string_view scope, std::string_view prompt) noexcept {
  prefix_hashes hashes;
  std::uint64_t chain = StableHash64(scope);
  const std::size_t whole = prompt.size() / kPrefixBlockBytes;
  const std::size_t blocks =
      prompt.empty() ? 0 : std::min(std::max<std::size_t>(whole, 1), kMaxPrefixBlocks);
  for (std::size_t i = 0; i < blocks; ++i) {
    chain = StableHash64(prompt.substr(i * kPrefixBlockBytes, kPrefixBlockBytes), chain);
    hashes.hash.at(i) = chain;
  }
  hashes.count = static_cast<std::uint32_t>(blocks);
  return hashes;
}

}  // namespace quincebank
