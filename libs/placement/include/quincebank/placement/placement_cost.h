#pragma once

#include "quincebank/placement/choose_upstream.h"
#include "quincebank/placement/placement_policy.h"

namespace quincebank {

/// \brief Cost of sending a request to an upstream. Only costs of the same policy can be compared.
///
/// - `kCount`: requests in flight per slot; those above the slots count more, since they wait for a
///   whole service time.
/// - `kTokens`: outstanding work per slot, the request included. Output tokens weigh more than
///   prompt tokens, by their costs in the engine's profile. Without an engine it is a duration.
/// - `kPredictedFinish`: expected milliseconds until the request ends. It waits for a free slot,
///   which takes longer the more output the requests before it have left, then for the prompts
///   before it and its own. Each step of its output takes longer with each request in the batch and
///   the tokens in memory, and at a slow engine. An engine without enough memory for it preempts
///   the newest request, which then begins again. Without an engine it is the time for the
///   outstanding work and its own, at the upstream's speed.
///
/// All costs grow with the share of failed attempts, since each failure costs a retry.
[[nodiscard]] double PlacementCost(const placement_candidate& candidate,
                                   const placement_request& request) noexcept;

/// \brief Lowers slots and limit of an engine that is slower than the other ranks of its group.
///
/// All ranks wait for the slowest one. With the lowered limit, at least 1, a step of the engine
/// takes as long as one of a full batch at the others. A larger batch would cost the group more
/// than it adds.
///
/// \param relative_speed  speed of the engine in relation to that of most ranks of its group.
void LimitToSpeed(const engine_profile& engine,
                  double relative_speed,
                  placement_candidate& candidate) noexcept;

}  // namespace quincebank
