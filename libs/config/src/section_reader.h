#pragma once

#include <string>
#include <vector>

#include "quincebank/base/json_reader.h"
#include "quincebank/config/document.h"

namespace quincebank {

/// \brief Reads one section; faults are added to `errors` with their paths below `path`.
[[nodiscard]] config_section ReadSection(const boost::json::value& value,
                                         std::string name,
                                         const std::string& path,
                                         std::vector<error>& errors);

/// \brief Returns whether a name can stand in a URL path, a header and a log line.
[[nodiscard]] bool IsName(std::string_view text) noexcept;

/// \brief Joins the first errors and counts the rest.
[[nodiscard]] error JoinFirstErrors(std::vector<error> errors);

}  // namespace quincebank
