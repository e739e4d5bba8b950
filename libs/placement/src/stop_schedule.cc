#include "quincebank/placement/stop_schedule.h"

#include <algorithm>

namespace quincebank {

void stop_schedule::Begin(boot_time lookups_end, boot_time end) noexcept {
  lookups_end_ = lookups_end;
  end_ = end;
}

bool stop_schedule::Admits(const remaining_time& request, boot_time now) const noexcept {
  if (!stopping())
    return true;
  const nanoseconds left = end_ - now;
  const bool by_expectation = request.repeatable && request.expected && now < lookups_end_;
  const milliseconds needed =
      by_expectation ? std::min(*request.expected, request.limit) : request.limit;
  return needed <= left;
}

}  // namespace quincebank
