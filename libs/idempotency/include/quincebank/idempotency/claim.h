#pragma once

#include <cstdint>
#include <string>

#include "quincebank/base/ids.h"
#include "quincebank/base/time.h"
#include "quincebank/idempotency/request_key.h"

namespace quincebank {

/// \brief Agent process that an attempt is meant for.
struct attempt_target {
  std::string agent;  ///< Address, `ip:port`.
  incarnation life;

  [[nodiscard]] bool operator==(const attempt_target&) const = default;
  [[nodiscard]] bool operator<(const attempt_target& other) const noexcept {
    return agent != other.agent ? agent < other.agent : life.value < other.life.value;
  }
};

/// \brief Durable record of which attempt may run a keyed request.
struct claim {
  claim_key key;
  std::uint64_t request_digest = 0;
  attempt_id attempt;
  attempt_target target;
  wall_time expires;  ///< End of the retention promised to its key; whole seconds on the wire.

  [[nodiscard]] bool operator==(const claim&) const = default;
};

}  // namespace quincebank
