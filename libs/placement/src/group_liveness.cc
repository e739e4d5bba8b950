#include "quincebank/placement/group_liveness.h"

#include <algorithm>

namespace quincebank {
namespace {

// Passes are counted over at least this time, which is several times the jitter of the reports.
constexpr milliseconds kMinMeasurementSpan{150};
// Weight of the newest measurement in the average pass time.
constexpr double kNewestWeight = 0.5;
// Weight of the newest report in the average batch size, which covers about the last 20 reports.
constexpr double kBatchSizeWeight = 0.05;
// Largest change of the usual speed with one report, in per mille. Equal steps towards each report
// yield about the median, which a few slow ranks do not lower although they are queried most often.
constexpr double kPaceStep = 5;
// Without a new pass for this time the group is idle or stalled, and the measured pass time is
// outdated.
constexpr milliseconds kMaxMeasurementAge{1'500};

}  // namespace

void group_liveness::OnPass(std::uint64_t pass_number, time_point now) noexcept {
  if (pass_number < last_pass_ || last_pass_at_ == time_point{} ||
      now - last_pass_at_ > kMaxMeasurementAge) {
    // The first report, a restart of the group, or the end of an idle time.
    last_pass_ = pass_number;
    last_pass_at_ = now;
    pass_time_ = nanoseconds(0);
    return;
  }
  if (pass_number == last_pass_ || now - last_pass_at_ < kMinMeasurementSpan)
    return;
  const nanoseconds measured =
      (now - last_pass_at_) / static_cast<std::int64_t>(pass_number - last_pass_);
  pass_time_ += pass_time_.count() == 0
                    ? measured
                    : nanoseconds(static_cast<std::int64_t>(
                          kNewestWeight * static_cast<double>((measured - pass_time_).count())));
  last_pass_ = pass_number;
  last_pass_at_ = now;
  last_progress_ = std::max(last_progress_, now);
}

void group_liveness::OnBatchSize(int requests) noexcept {
  mean_batch_size_ += kBatchSizeWeight * (static_cast<double>(requests) - mean_batch_size_);
}

void group_liveness::OnPace(int pace) noexcept {
  usual_pace_ += usual_pace_ == 0 ? pace : std::clamp(pace - usual_pace_, -kPaceStep, kPaceStep);
}

void group_liveness::OnServingBatchSize(int requests) noexcept {
  mean_serving_batch_size_ +=
      kBatchSizeWeight * (static_cast<double>(requests) - mean_serving_batch_size_);
}

nanoseconds group_liveness::PassTime(time_point now) const noexcept {
  return now - last_pass_at_ > kMaxMeasurementAge ? nanoseconds(0) : pass_time_;
}

}  // namespace quincebank
