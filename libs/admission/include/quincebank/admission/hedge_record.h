#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

#include "quincebank/admission/hedge_policy.h"
#include "quincebank/base/error.h"
#include "quincebank/base/record.h"

namespace quincebank {

/// \brief Value of `decision_record::kind` for hedge decisions.
inline constexpr std::string_view kHedgeRecordKind = "hedge";

/// \brief Identifies one copy of a request in a record.
struct hedge_copy {
  std::string attempt;  ///< Attempt id.
  std::string agent;    ///< Address of the agent as `ip:port`; empty if no upstream was chosen.
};

/// \brief Returns the record of one hedge decision: its inputs, its outcome and both copies.
/// \param request  request id.
[[nodiscard]] decision_record MakeHedgeRecord(std::string request,
                                              wall_time at,
                                              const hedge_input& input,
                                              const hedge_copy& first,
                                              const hedge_copy& second);

/// \brief Repeats a recorded hedge decision from the inputs in the record.
/// \returns The outcome, equal to the recorded one if the decision is reproducible; an error if the
/// record is of another kind or its inputs are malformed.
[[nodiscard]] result<boost::json::object> ReplayHedge(const decision_record& record);

}  // namespace quincebank
