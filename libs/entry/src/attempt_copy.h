#pragma once

#include <string>

#include "caller_answer.h"
#include "quincebank/base/error.h"
#include "quincebank/entry/entry_service.h"
#include "quincebank/entry/upstream_slot.h"
#include "quincebank/idempotency/request_action.h"

namespace quincebank {

/// \brief Result of one copy or fetch, with what the agent said of itself.
struct copy_result {
  copy_report report;
  milliseconds retry_after{0};
  std::optional<error_code> refused_as;  ///< Code of a refusal.
};

/// \brief Sends a call to an agent and passes the events of its answer on.
///
/// \param slot  gets the agent's load; may be null.
[[nodiscard]] copy_result RunCopy(http_client& http,
                                  const http_call& call,
                                  answer_sink& answer,
                                  upstream_slot* slot);

}  // namespace quincebank
