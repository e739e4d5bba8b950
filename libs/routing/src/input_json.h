#pragma once

#include <boost/json/object.hpp>

#include "quincebank/base/json_reader.h"
#include "quincebank/routing/settings.h"
#include "quincebank/routing/table.h"

namespace quincebank {

/// \brief Writes what decisions read of a snapshot.
[[nodiscard]] boost::json::object TableToJson(const routing_table& table);
/// \returns The snapshot, or null after adding the errors to `errors`.
[[nodiscard]] ref_ptr<const routing_table> TableFromJson(json_reader& reader,
                                                         std::vector<error>& errors);

[[nodiscard]] boost::json::object SettingsToJson(const route_settings& settings);
[[nodiscard]] route_settings SettingsFromJson(json_reader& reader);

}  // namespace quincebank
