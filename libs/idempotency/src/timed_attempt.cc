#include "quincebank/idempotency/timed_attempt.h"

#include "quincebank/base/random.h"

namespace quincebank {
namespace {
constexpr unsigned kRandomBits = 16;  // Of the upper half; the lower half is random.
}

attempt_id NewTimedAttemptId(random_source& random, wall_time now) noexcept {
  const auto ms = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
  const std::uint64_t noise = random.Next() >> (64U - kRandomBits);
  return {(static_cast<std::uint64_t>(ms) << kRandomBits) | noise, random.Next()};
}

wall_time AttemptTime(attempt_id id) noexcept {
  return wall_time(milliseconds(id.high >> kRandomBits));
}

}  // namespace quincebank
