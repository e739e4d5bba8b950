#include "quincebank/membership/rendezvous.h"

#include <algorithm>
#include <utility>

#include "quincebank/base/digest.h"
#include "quincebank/base/random.h"

namespace quincebank {

std::uint64_t RendezvousScore(std::string_view key, std::string_view node) noexcept {
  return Mix64(StableHash64(node, Mix64(StableHash64(key))));
}

std::vector<std::uint32_t> RendezvousOrder(std::string_view key,
                                           const std::vector<std::string>& names,
                                           std::size_t count) {
  std::vector<std::pair<std::uint64_t, std::uint32_t>> scores;
  scores.reserve(names.size());
  std::uint32_t position = 0;
  for (const std::string& name : names)
    scores.emplace_back(RendezvousScore(key, name), position++);
  count = std::min(count, scores.size());
  const auto higher = [&names](const auto& a, const auto& b) {
    // Equal scores are ordered by name, which all processes know.
    return a.first != b.first ? a.first > b.first : names[a.second] < names[b.second];
  };
  if (count == scores.size()) {
    std::sort(scores.begin(), scores.end(), higher);
  } else {
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(count),
                      scores.end(), higher);
  }
  std::vector<std::uint32_t> order;
  order.reserve(count);
  for (std::size_t i = 0; i < count; ++i)
    order.push_back(scores[i].second);
  return order;
}

}  // namespace quincebank
