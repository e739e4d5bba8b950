#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <string_view>

#include "quincebank/admission/hedge_policy.h"
#include "quincebank/base/error.h"
#include "quincebank/base/record.h"

namespace quincebank {

/// Kind of the records of decisions on a second copy.
inline constexpr std::string_view kHedgeRecordKind = "hedge";

/// \brief Names one copy of a request in a record.
struct hedge_copy {
  std::string attempt;
  std::string agent;  ///< `ip:port`; empty if none was chosen.
};

/// \brief Makes the record of one decision, with both copies.
[[nodiscard]] decision_record MakeHedgeRecord(std::string request,
                                              wall_time at,
                                              const hedge_input& input,
                                              const hedge_copy& first,
                                              const hedge_copy& second);

/// \brief Computes a recorded decision again from the record alone.
/// \returns The outcome, equal to the recorded one if the decision is reproduced.
[[nodiscard]] result<boost::json::object> ReplayHedge(const decision_record& record);

}  // namespace quincebank
