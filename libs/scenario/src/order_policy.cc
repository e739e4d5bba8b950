#include "quincebank/scenario/order_policy.h"

namespace quincebank::scenario {

request_action order_policy::OnAction(keyed_request& /*request*/,
                                      const request_action& action,
                                      time_point /*now*/,
                                      wall_time /*wall*/) {
  return action;
}

state_report order_policy::OnState(const request_action& /*action*/, state_report report) {
  return report;
}

}  // namespace quincebank::scenario
