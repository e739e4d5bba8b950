#include "quincebank/placement/group_formation.h"

#include <algorithm>

namespace quincebank {
namespace {

// Time in which a group opens after its last rank has registered.
constexpr milliseconds kFormationTime{600};
// Ranks of a group start within some seconds of each other.
constexpr milliseconds kMaxClosedTime{3'000};

}  // namespace

std::optional<time_point> ExpectedGroupOpening(const std::optional<time_point>& closed_since,
                                               time_point now) noexcept {
  if (!closed_since || now - *closed_since >= kMaxClosedTime)
    return std::nullopt;
  return std::max(*closed_since + kFormationTime, now);
}

}  // namespace quincebank
