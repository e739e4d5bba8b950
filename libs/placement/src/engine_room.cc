#include "quincebank/placement/engine_room.h"

#include <algorithm>

namespace quincebank {
namespace {

// Queue of an engine whose pace is not known, as a share of its slots.
constexpr double kUnknownQueueShare = 0.25;
// Room in the queue at any pace: a slot that becomes free must not stay empty for a round trip.
constexpr int kLeastQueue = 1;

double Millis(nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

/// Requests that may run at once so that a pass takes no longer than the goal. Their number moves
/// only a part of the pass; the rest grows in proportion when the group is slowed down.
int BatchRoom(const engine_profile& profile, const group_pace& pace, milliseconds most) {
  const int slots = std::max(profile.batch_slots, 1);
  const int steps = std::max(profile.tokens_per_event, 1);
  const double at_present = profile.step_ms + profile.step_ms_per_request * pace.running;
  if (most.count() <= 0 || at_present <= 0 || profile.step_ms_per_request <= 0)
    return slots;
  const double slowdown = Millis(pace.pass_time) / (steps * at_present);
  const double step = Millis(most) / (steps * slowdown);
  const double room = (step - profile.step_ms) / profile.step_ms_per_request;
  return std::clamp(static_cast<int>(room), (slots + 1) / 2, slots);
}

}  // namespace

int EngineRoom(const engine_profile& profile,
               const group_pace& pace,
               const room_goal& goal) noexcept {
  const int slots = std::max(profile.batch_slots, 1);
  if (pace.pass_time.count() <= 0 || profile.usual_answer_tokens <= 0)
    return slots + std::max(kLeastQueue, static_cast<int>(slots * kUnknownQueueShare));
  const int batch = BatchRoom(profile, pace, goal.pass_time);
  const double passes = profile.usual_answer_tokens / std::max(profile.tokens_per_event, 1);
  // With all slots taken one of them becomes free in each such time.
  const double interval = passes * Millis(pace.pass_time) / slots;
  const double queue = Millis(goal.queue_time) / std::max(interval, 1e-3);
  // A batch that is kept small lets the engine start what arrives at once.
  const int most_queued = batch < slots ? 0 : slots;
  return batch +
         std::clamp(static_cast<int>(queue), std::min(kLeastQueue, most_queued), most_queued);
}

}  // namespace quincebank
