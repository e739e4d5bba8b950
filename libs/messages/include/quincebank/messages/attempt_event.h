#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/idempotency/attempt_state.h"
#include "quincebank/messages/agent_load.h"
#include "quincebank/net/http_message.h"

namespace quincebank {

/// \brief Shows that the connection is alive while there is nothing else to send.
struct attempt_heartbeat {
  agent_load load;
};

/// \brief Status and headers of the upstream's answer.
struct attempt_head {
  int status = 0;
  http_headers headers;
};

/// \brief Next bytes of the answer's body.
struct attempt_body {
  std::string bytes;
};

/// \brief The whole answer was sent.
struct attempt_end {
  agent_load load;
};

/// \brief The attempt ends without a whole answer, or this copy of it is refused.
struct attempt_failure {
  error failure;
  /// What the ledger found, if it did not start this copy.
  std::optional<begin_outcome> refused_by_ledger;
  bool answer_gone = false;  ///< The attempt ran, but its answer is not held.
  milliseconds retry_after{0};
  agent_load load;
};

/// \brief What an agent sends to an entry about one attempt, as server-sent events.
///
/// The agent answers at once and sends a heartbeat each second, so that an entry tells a slow
/// upstream from a connection that has gone silent. The explicit end tells a whole answer from a
/// truncated one.
using attempt_event =
    std::variant<attempt_heartbeat, attempt_head, attempt_body, attempt_end, attempt_failure>;

/// Interval of heartbeats.
inline constexpr milliseconds kHeartbeatInterval{1000};
/// Silence after which a connection counts as gone: three heartbeats are missing.
inline constexpr milliseconds kSilenceLimit{3000};

/// \brief Writes one server-sent event.
[[nodiscard]] std::string Encode(const attempt_event& event);
/// \brief Reads one server-sent event, its blank line included or not.
[[nodiscard]] result<attempt_event> DecodeAttemptEvent(std::string_view text);

/// \brief JSON text of status and headers, the form in which an agent holds them.
[[nodiscard]] std::string EncodeHead(const attempt_head& head);
[[nodiscard]] result<attempt_head> DecodeHead(std::string_view text);

}  // namespace quincebank
