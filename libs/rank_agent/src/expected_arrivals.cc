#include "quincebank/rank_agent/expected_arrivals.h"

#include <cmath>

namespace quincebank {
namespace {

// From a load reply to the moment at which the request appears in a report: network delay within a
// region, the opening of a connection and a margin for busy hosts.
constexpr milliseconds kVisibilityDelay{25};
// Share of the replies that lead to a request: entries query up to four engines, and choose busy
// ones less often.
constexpr double kRequestsPerReply = 0.5;

}  // namespace

void expected_arrivals::OnLoadReply(time_point now) {
  reply_times_.push_back(now);
}

int expected_arrivals::ExpectedCount(time_point now) {
  while (!reply_times_.empty() && now - reply_times_.front() >= kVisibilityDelay)
    reply_times_.pop_front();
  return static_cast<int>(
      std::lround(kRequestsPerReply * static_cast<double>(reply_times_.size())));
}

}  // namespace quincebank
