#include "quincebank/idempotency/attempt_archive.h"

#include <algorithm>
#include <utility>

#include "quincebank/idempotency/timed_attempt.h"

namespace quincebank {
namespace {

bool Before(attempt_id a, attempt_id b) noexcept {
  return a.high != b.high ? a.high < b.high : a.low < b.low;
}

}  // namespace

void attempt_archive::Add(std::vector<archived_attempt> batch) {
  if (batch.empty())
    return;
  std::sort(batch.begin(), batch.end(), [](const archived_attempt& a, const archived_attempt& b) {
    return Before(a.id, b.id);
  });
  segment added;
  added.ids.reserve(batch.size());
  added.states.reserve(batch.size());
  for (const archived_attempt& entry : batch) {
    added.ids.push_back(entry.id);
    added.states.push_back(entry.state);
  }
  size_ += batch.size();
  segments_.push_back(std::move(added));
}

std::optional<attempt_state> attempt_archive::Find(attempt_id id) const noexcept {
  for (const segment& part : segments_) {
    if (Before(id, part.ids.front()) || Before(part.ids.back(), id))
      continue;
    const auto found = std::lower_bound(part.ids.begin(), part.ids.end(), id, Before);
    if (*found == id)
      return part.states[static_cast<std::size_t>(found - part.ids.begin())];
  }
  return std::nullopt;
}

void attempt_archive::DropBefore(wall_time oldest) {
  std::erase_if(segments_, [&](const segment& part) {
    if (AttemptTime(part.ids.back()) >= oldest)
      return false;
    size_ -= part.ids.size();
    return true;
  });
}

}  // namespace quincebank
