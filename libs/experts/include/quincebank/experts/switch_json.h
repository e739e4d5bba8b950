#pragma once

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/experts/switch_messages.h"

namespace quincebank {

/// \brief Returns the key of a group's decision record, `experts/<group>/<epoch>`.
[[nodiscard]] std::string DecisionKey(std::string_view group, map_epoch epoch);

[[nodiscard]] std::string ToHex(const map_digest& digest);
/// \brief Parses exactly 64 hexadecimal digits.
[[nodiscard]] std::optional<map_digest> MapDigestFromHex(std::string_view text);

[[nodiscard]] boost::json::object ToJson(const switch_decision& record);
[[nodiscard]] result<switch_decision> SwitchDecisionFromJson(const boost::json::value& value);

}  // namespace quincebank
