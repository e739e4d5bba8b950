#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quincebank {

/// \brief Score of a node for a key. Every process computes the same score.
[[nodiscard]] std::uint64_t RendezvousScore(std::string_view key, std::string_view node) noexcept;

/// \brief Returns the positions of the `count` names with the highest scores, the highest first.
///
/// A name that joins or leaves changes the order of no other two names.
[[nodiscard]] std::vector<std::uint32_t> RendezvousOrder(std::string_view key,
                                                         const std::vector<std::string>& names,
                                                         std::size_t count);

}  // namespace quincebank
