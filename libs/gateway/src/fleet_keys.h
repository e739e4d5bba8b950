#pragma once

#include <string_view>

namespace quincebank {

/// Keys of the entries' registrations in the shared store.
inline constexpr std::string_view kEntryPrefix = "quincebank/entries/";
/// Holds the name of the entry that rebalances experts.
inline constexpr std::string_view kCoordinatorKey = "quincebank/coordinator";
/// Notes how many entries there are, for those that start after a loss of all of them.
inline constexpr std::string_view kFleetSizeKey = "quincebank/fleet-size";

}  // namespace quincebank
