#pragma once

#include <string>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/net/http_server.h"

namespace quincebank {

/// \brief Returns the HTTP status that fits an error and its verdict.
[[nodiscard]] int StatusOf(const error& failure) noexcept;

/// \brief Answers `{"error": {"code", "message", "verdict", "request"}}` with the verdict header.
///
/// \param retry_after  sets `Retry-After`, rounded up to whole seconds, unless it is zero.
void Refuse(http_exchange& exchange,
            const error& failure,
            std::string_view request,
            milliseconds retry_after = milliseconds(0));

}  // namespace quincebank
