#pragma once

#include <cstdint>
#include <string>

#include "quincebank/admission/request.h"
#include "quincebank/base/error.h"
#include "quincebank/base/ids.h"
#include "quincebank/net/http_message.h"

namespace quincebank {

/// \brief One copy of an attempt as an entry sent it.
struct attempt_request {
  attempt_id attempt;
  incarnation wanted;
  std::string workspace;
  bool repeatable = false;  ///< The ledger may forget it soon after its end.
  admission_request admission;
  http_request forwarded;  ///< As the upstream gets it.
};

inline constexpr std::string_view kAttemptPrefix = "/attempt";

/// \brief Reads the fields of `ANY /attempt/<path>`; an error names the wrong field.
[[nodiscard]] result<attempt_request> ParseAttemptRequest(const http_request& request);

}  // namespace quincebank
