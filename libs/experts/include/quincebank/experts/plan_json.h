#pragma once

#include <boost/json/object.hpp>

#include "quincebank/base/record.h"
#include "quincebank/experts/rebalance.h"

namespace quincebank {

/// \brief Kind of the decision records of planning decisions.
inline constexpr std::string_view kPlanRecordKind = "expert_map";

[[nodiscard]] boost::json::object ToJson(const expert_map& map);
[[nodiscard]] result<expert_map> ExpertMapFromJson(const boost::json::value& value);

[[nodiscard]] boost::json::object ToJson(const group_shape& shape, const plan_input& input);
[[nodiscard]] boost::json::object ToJson(const plan_outcome& outcome);

/// \brief Input of a recorded decision.
struct recorded_plan {
  group_shape shape;
  plan_input input;
};
[[nodiscard]] result<recorded_plan> PlanInputFromJson(const boost::json::object& object);

/// \brief Makes the record of a decision.
///
/// \param group  name of the rank group; becomes the record's request.
[[nodiscard]] decision_record RecordPlan(std::string group,
                                         const group_shape& shape,
                                         const plan_input& input,
                                         const plan_outcome& outcome);

/// \brief Computes a recorded decision again from its input.
///
/// \returns The outcome in the form of the record; equal to it unless the policy has changed.
[[nodiscard]] result<boost::json::object> ReplayPlan(const decision_record& record);

}  // namespace quincebank
