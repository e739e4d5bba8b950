#include "quincebank/placement/turn_pace.h"

#include <algorithm>

namespace quincebank {
namespace {

// Turns that the average needs before it tells anything, and the weight of the newest one.
constexpr int kLeastTurns = 4;
constexpr int kNewestPart = 4;
// A line that has been empty for this time belongs to an earlier overload.
constexpr milliseconds kForget{2'000};

}  // namespace

void turn_pace::OnLineBegins(time_point now) noexcept {
  if (now - last_ > kForget)
    turns_ = 0;
  last_ = now;
}

void turn_pace::OnTurn(time_point now) noexcept {
  const nanoseconds interval = now - last_;
  interval_ = turns_ == 0 ? interval : interval_ + (interval - interval_) / kNewestPart;
  ++turns_;
  last_ = now;
}

milliseconds turn_pace::WaitBehind(std::size_t ahead, time_point now) const noexcept {
  if (turns_ < kLeastTurns)
    return milliseconds(0);
  const nanoseconds since = now - last_;
  // A line that stands still has become slower than its average.
  const nanoseconds interval = std::max(interval_, since);
  const nanoseconds wait = interval * static_cast<std::int64_t>(ahead + 1) - since;
  return std::chrono::duration_cast<milliseconds>(wait);
}

}  // namespace quincebank
