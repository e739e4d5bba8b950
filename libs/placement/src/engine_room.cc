#include "quincebank/placement/engine_room.h"

#include <algorithm>

namespace quincebank {
namespace {

// Queue of an engine whose pace is not known, as a share of its slots.
constexpr double kUnknownQueueShare = 0.25;
// Room in the queue at any pace: a slot that becomes free must not stay empty for a round trip.
constexpr int kLeastQueue = 1;

}  // namespace

int EngineRoom(const engine_profile& profile, nanoseconds pass_time, milliseconds budget) noexcept {
  const int slots = std::max(profile.batch_slots, 1);
  if (pass_time.count() <= 0 || profile.usual_answer_tokens <= 0)
    return slots + std::max(kLeastQueue, static_cast<int>(slots * kUnknownQueueShare));
  const double passes = profile.usual_answer_tokens / std::max(profile.tokens_per_event, 1);
  // With all slots taken one of them becomes free in each such time.
  const double interval = passes * static_cast<double>(pass_time.count()) / slots;
  const double queue = static_cast<double>(nanoseconds(budget).count()) / std::max(interval, 1.0);
  return slots + std::clamp(static_cast<int>(queue), kLeastQueue, slots);
}

}  // namespace quincebank
