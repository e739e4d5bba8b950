#include "quincebank/rank_agent/expected_arrivals.h"

#include <cmath>

namespace quincebank {
namespace {

// From an answer to the moment at which the request shows in a report: a way within a region, the
// opening of a connection and a margin for busy hosts.
constexpr milliseconds kOnTheWay{25};
// Part of the answers that bring a request: entries ask up to four engines, and the answers of busy
// ones are taken less often.
constexpr double kTakenShare = 0.5;

}  // namespace

void expected_arrivals::OnAnswer(time_point now) {
  answers_.push_back(now);
}

int expected_arrivals::Count(time_point now) {
  while (!answers_.empty() && now - answers_.front() >= kOnTheWay)
    answers_.pop_front();
  return static_cast<int>(std::lround(kTakenShare * static_cast<double>(answers_.size())));
}

}  // namespace quincebank
