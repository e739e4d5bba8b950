#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace quincebank {

/// \brief Writes numbers as `3,0*17,5`: a run of equal values is written once with its length.
///
/// A record of 620 upstreams would otherwise take tens of kilobytes.
[[nodiscard]] std::string PackColumn(std::span<const std::int64_t> values);
/// \returns The numbers, or nothing if the text is malformed or has not exactly `count` of them.
[[nodiscard]] std::optional<std::vector<std::int64_t>> UnpackColumn(std::string_view text,
                                                                    std::size_t count);

/// \brief Writes 64-bit values as hexadecimal numbers with commas between them.
[[nodiscard]] std::string PackHex(std::span<const std::uint64_t> values);
[[nodiscard]] std::optional<std::vector<std::uint64_t>> UnpackHex(std::string_view text);

}  // namespace quincebank
