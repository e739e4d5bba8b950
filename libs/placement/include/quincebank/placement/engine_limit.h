#pragma once

#include "quincebank/base/time.h"
#include "quincebank/catalog/service_catalog.h"

namespace quincebank {

/// \brief Speed of a group of ranks that run forward passes in lock-step.
struct group_pass_stats {
  nanoseconds pass_time{0};    ///< Duration of one pass; 0 if unknown.
  double mean_batch_size = 0;  ///< Mean number of requests in the batch of a rank.
};

/// \brief Latency goals of the requests of a route.
struct latency_goal {
  milliseconds queue_time{0};  ///< Maximum time of a request in the queue of an engine.
  milliseconds pass_time{0};   ///< Longest pass that keeps streams on time; 0: no limit.
};

/// \brief Returns the goals at an engine that follow from the objectives of a route.
[[nodiscard]] latency_goal MakeLatencyGoal(milliseconds latency_objective,
                                           milliseconds event_gap_objective) noexcept;

/// \brief Returns how many requests, from 1 to the slots of an engine, may run concurrently so that
/// a pass takes at most `max_pass_time`. \param pass_stats  current speed of the engine's group.
/// Without a pass time, all slots may be
///     used.
[[nodiscard]] int EngineBatchLimit(const engine_profile& profile,
                                   const group_pass_stats& pass_stats,
                                   milliseconds max_pass_time) noexcept;

/// \brief Returns the maximum number of requests at an engine, running and queued.
///
/// In an overload an overloaded or slow rank, or an expert map that no longer fits the load,
/// lengthens the passes of the whole group. All its streams are then late, requests stay longer and
/// more of them run concurrently, which lengthens the passes further. The limit therefore bounds
/// the batch so that passes stay within the goal, though not below half of the slots, and the queue
/// so that the first token is expected in time. Requests above the limit are rejected; most others
/// are served in time, whereas a full batch would make all of them late.
///
/// \param pass_stats  current speed of the engine's group. Without a pass time, or without the
///     usual answer length in the profile, the limit is the slots and a short queue.
[[nodiscard]] int EngineRequestLimit(const engine_profile& profile,
                                     const group_pass_stats& pass_stats,
                                     const latency_goal& goal) noexcept;

}  // namespace quincebank
