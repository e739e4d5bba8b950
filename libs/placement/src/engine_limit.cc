#include "quincebank/placement/engine_limit.h"

#include <algorithm>

namespace quincebank {
namespace {

// Queue of an engine whose pass time is unknown, as a share of its slots.
constexpr double kDefaultQueueShare = 0.25;
// Minimum queue if the batch may fill all slots, at any pass time: a slot that becomes free must
// not stay empty for a round trip.
constexpr int kMinQueue = 1;

double ToMilliseconds(nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

/// Returns how many requests may run concurrently so that a pass takes at most `max_pass_time`.
/// Only a part of the pass time depends on their number; a slowdown of the group scales all of it.
int BatchLimit(const engine_profile& profile,
               const group_pass_stats& pass_stats,
               milliseconds max_pass_time) {
  const int slots = std::max(profile.batch_slots, 1);
  const int steps_per_pass = std::max(profile.tokens_per_event, 1);
  const double expected_step_ms =
      profile.step_ms + profile.step_ms_per_request * pass_stats.mean_batch_size;
  if (max_pass_time.count() <= 0 || expected_step_ms <= 0 || profile.step_ms_per_request <= 0)
    return slots;
  const double slowdown =
      ToMilliseconds(pass_stats.pass_time) / (steps_per_pass * expected_step_ms);
  const double max_step_ms = ToMilliseconds(max_pass_time) / (steps_per_pass * slowdown);
  const double batch = (max_step_ms - profile.step_ms) / profile.step_ms_per_request;
  return std::clamp(static_cast<int>(batch), (slots + 1) / 2, slots);
}

}  // namespace

int EngineRequestLimit(const engine_profile& profile,
                       const group_pass_stats& pass_stats,
                       const latency_goal& goal) noexcept {
  const int slots = std::max(profile.batch_slots, 1);
  if (pass_stats.pass_time.count() <= 0 || profile.mean_answer_tokens <= 0)
    return slots + std::max(kMinQueue, static_cast<int>(slots * kDefaultQueueShare));
  const int batch = BatchLimit(profile, pass_stats, goal.pass_time);
  const double passes = profile.mean_answer_tokens / std::max(profile.tokens_per_event, 1);
  // Mean time until one of the slots becomes free, if all are in use.
  const double slot_interval_ms = passes * ToMilliseconds(pass_stats.pass_time) / slots;
  const double queue = ToMilliseconds(goal.queue_time) / std::max(slot_interval_ms, 1e-3);
  // An engine whose batch is below its slots starts each request on arrival, without a queue.
  const int max_queue = batch < slots ? 0 : slots;
  return batch + std::clamp(static_cast<int>(queue), std::min(kMinQueue, max_queue), max_queue);
}

}  // namespace quincebank
