#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string>

#include "quincebank/base/error.h"
#include "quincebank/expert_control/engine_port.h"

namespace quincebank {

/// \name Messages between the coordinator of expert groups and the agents beside the engines.
/// @{
[[nodiscard]] boost::json::object ToJson(const rank_report& report);
[[nodiscard]] result<rank_report> RankReportFromJson(const boost::json::value& value);

[[nodiscard]] boost::json::object ToJson(const held_experts& held);
[[nodiscard]] result<held_experts> HeldExpertsFromJson(const boost::json::value& value);
/// @}

}  // namespace quincebank
