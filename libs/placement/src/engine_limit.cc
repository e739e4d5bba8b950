#include "quincebank/placement/engine_limit.h"

#include <algorithm>

namespace quincebank {
namespace {

// Queue of an engine whose pass time is unknown, as a share of its slots.
constexpr double kDefaultQueueShare = 0.25;
// Minimum queue if the batch may fill all slots, at any pass time: a slot that becomes free must
// not stay empty for a round trip.
constexpr int kMinQueue = 1;
// A request may spend this part (one half) of the latency objective in the queue of an engine.
constexpr int kQueueWaitDivisor = 2;
// Part of the event gap objective that one pass may take, in percent. The rest is for a pass that
// is held back and for the transfer to the client.
constexpr int kPassTimePercent = 80;

double ToMilliseconds(nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

latency_goal MakeLatencyGoal(milliseconds latency_objective,
                             milliseconds event_gap_objective) noexcept {
  return {latency_objective / kQueueWaitDivisor, event_gap_objective * kPassTimePercent / 100};
}

int EngineBatchLimit(const engine_profile& profile,
                     const group_pass_stats& pass_stats,
                     milliseconds max_pass_time) noexcept {
  const int slots = std::max(profile.batch_slots, 1);
  const int steps_per_pass = std::max(profile.tokens_per_event, 1);
  const double expected_step_ms =
      profile.step_ms + profile.step_ms_per_request * pass_stats.mean_batch_size;
  if (max_pass_time.count() <= 0 || pass_stats.pass_time.count() <= 0 || expected_step_ms <= 0 ||
      profile.step_ms_per_request <= 0)
    return slots;
  // Only a part of the pass time depends on the batch; a slowdown of the group scales all of it.
  const double slowdown =
      ToMilliseconds(pass_stats.pass_time) / (steps_per_pass * expected_step_ms);
  const double max_step_ms = ToMilliseconds(max_pass_time) / (steps_per_pass * slowdown);
  const double batch = (max_step_ms - profile.step_ms) / profile.step_ms_per_request;
  return static_cast<int>(std::clamp(batch, 1.0, static_cast<double>(slots)));
}

int EngineRequestLimit(const engine_profile& profile,
                       const group_pass_stats& pass_stats,
                       const latency_goal& goal) noexcept {
  const int slots = std::max(profile.batch_slots, 1);
  if (pass_stats.pass_time.count() <= 0 || profile.mean_answer_tokens <= 0)
    return slots + std::max(kMinQueue, static_cast<int>(slots * kDefaultQueueShare));
  const int batch =
      std::max(EngineBatchLimit(profile, pass_stats, goal.pass_time), (slots + 1) / 2);
  const double passes = profile.mean_answer_tokens / std::max(profile.tokens_per_event, 1);
  // Mean time until one of the slots becomes free, if all are in use.
  const double slot_interval_ms = passes * ToMilliseconds(pass_stats.pass_time) / slots;
  const double queue = ToMilliseconds(goal.queue_time) / std::max(slot_interval_ms, 1e-3);
  // An engine whose batch is below its slots starts each request on arrival, without a queue.
  const int max_queue = batch < slots ? 0 : slots;
  return batch + std::clamp(static_cast<int>(queue), std::min(kMinQueue, max_queue), max_queue);
}

}  // namespace quincebank
