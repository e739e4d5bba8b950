#include "quincebank/placement/group_pulse.h"

#include <algorithm>

namespace quincebank {
namespace {

// Passes are counted over at least this time, several times the spread of reports on their way.
constexpr milliseconds kLeastSpan{150};
// Weight of the newest span.
constexpr double kNewestWeight = 0.5;
// Weight of the newest rank in the average of all: about the last twenty that told.
constexpr double kRankWeight = 0.05;
// Without a new pass for this time the group is idle or silent, and the last figure says nothing.
constexpr milliseconds kFigureLife{1'500};

}  // namespace

void group_pulse::OnStep(std::uint64_t step, time_point now) noexcept {
  if (step < step_ || step_at_ == time_point{} || now - step_at_ > kFigureLife) {
    // The first report, a new formation of the group, or the end of a rest.
    step_ = step;
    step_at_ = now;
    pass_time_ = nanoseconds(0);
    return;
  }
  if (step == step_ || now - step_at_ < kLeastSpan)
    return;
  const nanoseconds pass = (now - step_at_) / static_cast<std::int64_t>(step - step_);
  pass_time_ += pass_time_.count() == 0
                    ? pass
                    : nanoseconds(static_cast<std::int64_t>(
                          kNewestWeight * static_cast<double>((pass - pass_time_).count())));
  step_ = step;
  step_at_ = now;
  heard_ = std::max(heard_, now);
}

void group_pulse::OnRunning(int requests) noexcept {
  running_ += kRankWeight * (static_cast<double>(requests) - running_);
}

nanoseconds group_pulse::PassTime(time_point now) const noexcept {
  return now - step_at_ > kFigureLife ? nanoseconds(0) : pass_time_;
}

}  // namespace quincebank
