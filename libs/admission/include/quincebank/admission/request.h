#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Highest value of `Quincebank-Priority`; higher values are served first.
constexpr std::uint8_t kHighestPriority = 9;

/// \brief What the gate needs to know about a request.
struct admission_request {
  std::uint64_t workspace = 0;  ///< `StableHash64` of the workspace name.
  std::uint32_t weight = 1;     ///< Share of the workspace; 0 counts as 1.
  std::uint8_t priority = 5;    ///< 0 to 9, compared only within the workspace.
  /// Time left until the caller's deadline; nothing if the caller set none.
  std::optional<milliseconds> deadline;
  /// A second copy of a slow request. It takes a free place of a warm upstream or none: it never
  /// waits, so it delays no other work.
  bool hedge = false;
  std::uint32_t cost = 1;  ///< Units charged to the workspace, for example 1 per request.
};

/// \brief Names one admitted or queued request until `Finish` or `Cancel`. Never reused.
struct admission_ticket {
  std::uint64_t value = 0;  ///< 0 names no request.

  [[nodiscard]] bool operator==(const admission_ticket&) const noexcept = default;
  [[nodiscard]] bool operator<(const admission_ticket& other) const noexcept {
    return value < other.value;
  }
};

/// \brief Why a request was not run.
enum class shed_reason : std::uint8_t {
  kNone,
  kDraining,      ///< The upstream takes no new work.
  kDeadline,      ///< The deadline cannot be met.
  kCold,          ///< A cold upstream holds no queue.
  kQueueFull,     ///< The queue is full and the workspace holds its share of it.
  kDisplaced,     ///< Made room for a workspace below its share, or for a higher priority.
  kLimitLowered,  ///< The limit fell and the queue shrank with it.
};

/// \brief Returns the wire form, such as `queue-full`.
[[nodiscard]] std::string_view ToString(shed_reason reason) noexcept;

/// \brief A refusal. The verdict of `failure` is always "not run".
struct rejection {
  shed_reason reason = shed_reason::kNone;
  error failure;
  milliseconds retry_after{0};
};

/// \brief Answer to `admission_gate::Offer`.
struct admission_decision {
  enum class kind : std::uint8_t {
    kAdmitted,  ///< Start it now, then call `Finish` with the ticket.
    kQueued,    ///< Wait until `NextAdmitted` returns the ticket.
    kRejected,  ///< Not run; the ticket is empty.
  };

  kind result = kind::kRejected;
  admission_ticket ticket;
  rejection refused;  ///< Set if rejected.

  [[nodiscard]] bool admitted() const noexcept { return result == kind::kAdmitted; }
  [[nodiscard]] bool queued() const noexcept { return result == kind::kQueued; }
  [[nodiscard]] bool rejected() const noexcept { return result == kind::kRejected; }
};

/// \brief A queued request that was given up without being run. Its ticket is no longer valid.
struct shed_ticket {
  admission_ticket ticket;
  rejection refused;
};

/// \brief What happened in the queue since the last call.
struct queue_changes {
  std::vector<admission_ticket> admitted;  ///< Start these now, in this order.
  std::vector<shed_ticket> shed;           ///< Reject these as "not run".
};

/// \brief How admitted work ended.
enum class work_outcome : std::uint8_t {
  kServed,         ///< The upstream answered in full.
  kUpstreamError,  ///< The upstream failed the request; counts like slow work.
  kTimedOut,       ///< Given up before the answer was complete; judged by the service time so far.
  kRefused,        ///< The upstream itself refused the work as too much.
  kIgnored,        ///< The caller left, or the request itself was wrong.
};

/// \brief Phase of the concurrency limit.
enum class admission_phase : std::uint8_t {
  kCold,      ///< No evidence since the last fallback.
  kRamping,   ///< Below the full limit.
  kFull,      ///< At the full limit.
  kDraining,  ///< Takes no new work.
};

/// \brief Returns `cold`, `ramping`, `full` or `draining`.
[[nodiscard]] std::string_view ToString(admission_phase phase) noexcept;

/// \brief Load of the gate, as reported in `Quincebank-Load` and `agent.status`.
struct admission_state {
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  std::size_t limit = 0;
  admission_phase phase = admission_phase::kCold;

  [[nodiscard]] std::string_view name() const noexcept { return ToString(phase); }
};

}  // namespace quincebank
