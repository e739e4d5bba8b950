#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/idempotency/attempt_state.h"
#include "quincebank/idempotency/claim.h"

namespace quincebank {

/// \brief What the entry must do next for one request.
enum class action_kind : std::uint8_t {
  kNone,      ///< The event was late or repeated; wait for the pending one.
  kChoose,    ///< Choose an upstream other than `tried`; reply with `OnTarget`.
  kClaim,     ///< Give `value` and `expected` to the claim writer; reply with `OnClaim`.
  kLook,      ///< Look the claim of `value.key` up; reply with `OnClaim`.
  kSend,      ///< Send a copy of `attempt` to `target`; reply with `OnCopy`.
  kAskState,  ///< `agent.attempt_status`; reply with `OnState`.
  kBlock,     ///< `agent.block_attempt`; reply with `OnState`.
  kFetch,     ///< `GET /attempts/<id>?offset=N`; reply with `OnCopy`.
  kAskRetry,  ///< Ask the retry budget; reply with `OnPermission`.
  kWait,      ///< Call `OnWake` at `wake`.
  kFinish,    ///< The request is over; see `end`.
};

[[nodiscard]] std::string_view ToString(action_kind kind) noexcept;

/// \brief End of a request.
struct request_end {
  verdict outcome = verdict::kNotRun;
  bool answered = false;         ///< The caller has its whole answer; else `failure` is set.
  error failure;                 ///< Its verdict is `outcome`.
  std::optional<claim> release;  ///< To pass to `claim_writer::Release`.
};

struct request_action {
  action_kind kind = action_kind::kNone;
  std::uint32_t step = 0;  ///< Given back with the reply; a reply to an earlier step is ignored.
  attempt_id attempt;
  attempt_target target;
  std::uint64_t offset = 0;  ///< For `kFetch`: bytes of this attempt that the caller has.
  claim value;
  std::optional<attempt_id> expected;
  std::vector<std::string> tried;  ///< For `kChoose`: agents not to choose again.
  time_point wake;
  request_end end;
};

/// \brief How one copy of an attempt, or a fetch of its answer, ended.
enum class copy_outcome : std::uint8_t {
  kAnswered,          ///< The whole answer went to the caller.
  kNotSent,           ///< No byte reached the agent's connection.
  kRejected,          ///< The agent rejected this copy as "not run".
  kWrongIncarnation,  ///< Another incarnation rejected this copy.
  kBlocked,           ///< The agent has blocked the attempt.
  kDuplicate,         ///< The attempt is running or done; fetch its answer.
  kFailed,            ///< The agent reports that the attempt may have run.
  kGone,              ///< The attempt ran, and its answer is not held.
  kLost,              ///< Connection lost, silent or timed out: nothing is known.
};

struct copy_report {
  copy_outcome outcome = copy_outcome::kLost;
  std::uint64_t delivered = 0;  ///< Bytes of the answer's body that the caller has.
  std::string message;          ///< For people, such as the agent's reason.
};

/// \brief Returns the outcome of a copy that the agent's ledger did not start.
[[nodiscard]] copy_outcome CopyOutcomeOf(begin_outcome outcome) noexcept;

/// \brief Answer of an agent to a question about an attempt; no state if it can't be reached.
struct state_report {
  std::optional<attempt_state> state;
};

}  // namespace quincebank
