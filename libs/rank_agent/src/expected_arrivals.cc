#include "quincebank/rank_agent/expected_arrivals.h"

#include <cmath>

namespace quincebank {
namespace {

// From an answer to the moment at which the request shows in a report: a way within a region, the
// opening of a connection and a margin for busy hosts.
constexpr milliseconds kVisibilityDelay{25};
// Part of the answers that bring a request: entries ask up to four engines, and the answers of busy
// ones are taken less often.
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
