#pragma once

#include "quincebank/base/time.h"
#include "quincebank/catalog/service_catalog.h"

namespace quincebank {

/// \brief How fast a group of ranks advances.
struct group_pass_stats {
  nanoseconds pass_time{0};    ///< Of one pass; 0 if unknown.
  double mean_batch_size = 0;  ///< Requests in the batch of a rank, on average.
};

/// \brief What the requests of a route can bear.
struct latency_goal {
  milliseconds queue_time{0};  ///< That a request may spend in the queue of an engine.
  milliseconds pass_time{0};   ///< Longest pass that keeps streams on time; 0: any.
};

/// \brief Requests that an engine should have at once, those in its queue included.
///
/// Answers an overload: the most loaded rank, a slow one, or an expert map that does not fit any
/// more, makes the passes of a whole group longer. All of its streams are then late, requests stay
/// longer, and more of them run at once, which makes passes longer still. The batch is therefore
/// kept so small that passes stay within the goal, though not below half of its slots, and the
/// queue so short that the first token is expected in time. What finds no room is turned away at
/// once; most of the others are served in time, where a full batch would make all of them late.
[[nodiscard]] int EngineRequestLimit(const engine_profile& profile,
                                     const group_pass_stats& pass_stats,
                                     const latency_goal& goal) noexcept;

}  // namespace quincebank
