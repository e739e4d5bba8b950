#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Highest value of the `Quincebank-Priority` header; higher values are served first.
constexpr std::uint8_t kHighestPriority = 9;

/// \brief Properties of a request that `admission_gate::Offer` decides by.
struct admission_request {
  std::uint64_t workspace = 0;  ///< `StableHash64` of the workspace name.
  std::uint32_t weight = 1;     ///< Relative share of the workspace; 0 counts as 1.
  std::uint8_t priority = 5;    ///< 0 to `kHighestPriority`, compared only within the workspace.
  /// Time left until the caller's deadline; `nullopt` if the caller set none.
  std::optional<milliseconds> deadline;
  /// Whether this is a hedge, a second copy of a slow request. A hedge is admitted only to a free
  /// slot of a warm upstream and is never queued, so it doesn't delay other requests.
  bool hedge = false;
  std::uint32_t cost = 1;  ///< Units charged to the workspace; 0 counts as 1.
};

/// \brief Identifies one admitted or queued request until it is finished, cancelled or shed. Values
/// are not reused.
struct admission_ticket {
  std::uint64_t value = 0;  ///< 0 identifies no request.

  [[nodiscard]] bool operator==(const admission_ticket&) const noexcept = default;
  [[nodiscard]] bool operator<(const admission_ticket& other) const noexcept {
    return value < other.value;
  }
};

/// \brief Why a request was rejected or shed.
enum class shed_reason : std::uint8_t {
  kNone,
  kDraining,      ///< The upstream is draining.
  kDeadline,      ///< The deadline cannot be met.
  kCold,          ///< The upstream is cold and at its limit; none are queued then.
  kQueueFull,     ///< The queue is full and the workspace holds its share of it.
  kDisplaced,     ///< Displaced by a workspace below its share or by a higher priority.
  kLimitLowered,  ///< The limit was lowered, and the queue limit with it.
};

/// \brief Returns the name of the reason as sent to other processes, such as `queue-full`.
[[nodiscard]] std::string_view ToString(shed_reason reason) noexcept;

/// \brief Why and how a request was rejected. The verdict of `failure` is always "not run".
struct rejection {
  shed_reason reason = shed_reason::kNone;
  error failure;
  milliseconds retry_after{0};  ///< Suggested wait before a retry.
};

/// \brief Result of `admission_gate::Offer`.
struct admission_decision {
  enum class kind : std::uint8_t {
    kAdmitted,  ///< Start the request now, then call `Finish` with the ticket.
    kQueued,    ///< Wait until `ProcessQueue` returns the ticket.
    kRejected,  ///< Don't run the request; the ticket is empty.
  };

  kind result = kind::kRejected;
  admission_ticket ticket;
  rejection refused;  ///< Set if rejected.

  [[nodiscard]] bool admitted() const noexcept { return result == kind::kAdmitted; }
  [[nodiscard]] bool queued() const noexcept { return result == kind::kQueued; }
  [[nodiscard]] bool rejected() const noexcept { return result == kind::kRejected; }
};

/// \brief A queued request that was rejected before it was started. Its ticket is no longer valid.
struct shed_ticket {
  admission_ticket ticket;
  rejection refused;
};

/// \brief Changes of the queue since the last call of `admission_gate::ProcessQueue`.
struct queue_changes {
  std::vector<admission_ticket> admitted;  ///< Start these now, in this order.
  std::vector<shed_ticket> shed;           ///< Reject these with the verdict "not run".
};

/// \brief How an admitted request ended.
enum class work_outcome : std::uint8_t {
  kServed,         ///< The upstream sent the complete response.
  kUpstreamError,  ///< The upstream failed the request; counts as slow.
  kTimedOut,       ///< Ended before the response was complete; counts only if already slow.
  kRefused,        ///< The upstream rejected the request because it was overloaded.
  kIgnored,        ///< Doesn't affect the limit: the caller left, or the request was invalid.
};

/// \brief Phase of the concurrency limit.
enum class admission_phase : std::uint8_t {
  kCold,      ///< Not raised since the last reset to the cold limit.
  kRamping,   ///< Below the full limit.
  kFull,      ///< At the full limit.
  kDraining,  ///< Takes no new work.
};

/// \brief Returns `cold`, `ramping`, `full` or `draining`.
[[nodiscard]] std::string_view ToString(admission_phase phase) noexcept;

/// \brief Load of the gate, as reported in the `Quincebank-Load` header and by `agent.status`.
struct admission_state {
  std::size_t in_flight = 0;  ///< Admitted requests that have not ended.
  std::size_t queued = 0;     ///< Requests that wait for a slot.
  std::size_t limit = 0;      ///< Present concurrency limit.
  admission_phase phase = admission_phase::kCold;

  [[nodiscard]] std::string_view name() const noexcept { return ToString(phase); }
};

}  // namespace quincebank
