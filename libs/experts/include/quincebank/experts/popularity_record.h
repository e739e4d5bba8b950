#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"

namespace quincebank {

/// \brief Popularity of a group's experts as text, for a coordinator that takes over.
///
/// Shares are kept to about one percent, in one byte each: it has to be good enough for a first
/// plan only.
///
/// \param loads  tokens of each expert, by set.
[[nodiscard]] std::string EncodePopularity(const std::vector<std::vector<double>>& loads);

/// \returns Relative loads, by set; an error if the text is malformed.
[[nodiscard]] result<std::vector<std::vector<double>>> DecodePopularity(std::string_view text);

}  // namespace quincebank
