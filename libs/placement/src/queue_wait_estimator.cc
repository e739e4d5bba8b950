#include "quincebank/placement/queue_wait_estimator.h"

#include <algorithm>

namespace quincebank {
namespace {

// Samples required for an estimate, and the reciprocal of the weight of the newest one.
constexpr int kMinSamples = 4;
constexpr int kAveragingDivisor = 4;
// The average is reset if no request has left the queue for this time: it stems from an earlier
// overload.
constexpr milliseconds kMaxIdleTime{2'000};

}  // namespace

void queue_wait_estimator::OnQueueStart(time_point now) noexcept {
  if (now - last_dequeue_ > kMaxIdleTime)
    samples_ = 0;
  last_dequeue_ = now;
}

void queue_wait_estimator::OnDequeue(time_point now) noexcept {
  const nanoseconds interval = now - last_dequeue_;
  mean_interval_ =
      samples_ == 0 ? interval : mean_interval_ + (interval - mean_interval_) / kAveragingDivisor;
  ++samples_;
  last_dequeue_ = now;
}

milliseconds queue_wait_estimator::EstimateWait(std::size_t ahead, time_point now) const noexcept {
  if (samples_ < kMinSamples)
    return milliseconds(0);
  const nanoseconds elapsed = now - last_dequeue_;
  // If no request has left for longer than the average, the queue has become slower.
  const nanoseconds interval = std::max(mean_interval_, elapsed);
  const nanoseconds wait = interval * static_cast<std::int64_t>(ahead + 1) - elapsed;
  return std::chrono::duration_cast<milliseconds>(wait);
}

}  // namespace quincebank
