#include "quincebank/routing/entries.h"

#include <algorithm>
#include <utility>

#include "quincebank/base/random.h"

namespace quincebank {
namespace {

constexpr std::size_t kForeignShare = 4;  // One in four.

void Shuffle(std::vector<const entry_address*>& list, random_source& random) {
  for (std::size_t i = list.size(); i > 1; --i)
    std::swap(list[i - 1], list[random.Below(i)]);
}

}  // namespace

std::vector<entry_address> OrderEntries(std::span<const entry_address> entries,
                                        std::string_view caller_failure_domain,
                                        std::uint64_t seed,
                                        std::size_t limit) {
  std::vector<const entry_address*> near;
  std::vector<const entry_address*> far;
  for (const entry_address& entry : entries) {
    if (entry.draining)
      continue;
    auto& list = entry.failure_domain == caller_failure_domain ? near : far;
    list.push_back(&entry);
  }
  random_source random(seed);
  Shuffle(near, random);
  Shuffle(far, random);

  const std::size_t reserved = std::min(far.size(), (limit + kForeignShare - 1) / kForeignShare);
  // A list of one address has no room for an alternative.
  const std::size_t near_count =
      std::min(near.size(), limit > 1 ? limit - std::min(limit, reserved) : limit);
  std::vector<entry_address> ordered;
  ordered.reserve(limit);
  for (std::size_t i = 0; i < near_count; ++i)
    ordered.push_back(*near[i]);
  for (const entry_address* entry : far) {
    if (ordered.size() >= limit)
      break;
    ordered.push_back(*entry);
  }
  return ordered;
}

}  // namespace quincebank
