#pragma once

#include <optional>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Returns when a group of ranks is expected to accept requests.
///
/// \param closed_since  when its registrations were first seen to say that it does not.
/// \returns Nothing if it accepts requests, or if it is so long overdue that it has lost a rank for
///          good or the registrations are outdated because the store can't be reached.
[[nodiscard]] std::optional<time_point> ExpectedGroupOpening(
    const std::optional<time_point>& closed_since,
    time_point now) noexcept;

}  // namespace quincebank
