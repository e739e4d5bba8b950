#pragma once

#include <string_view>

namespace quincebank {

/// Keys of the entries' registrations in the shared store.
inline constexpr std::string_view kEntryPrefix = "quincebank/entries/";
/// Holds the name of the entry that rebalances experts.
inline constexpr std::string_view kCoordinatorKey = "quincebank/coordinator";
/// Notes how many entries there are, for those that start after a loss of all of them.
inline constexpr std::string_view kFleetSizeKey = "quincebank/fleet-size";

/// Names the last coordinator, which claims the role first after a loss of all entries.
inline constexpr std::string_view kLastCoordinatorKey = "quincebank/last-coordinator";
/// Popularity of the experts of each group, for a coordinator that takes over.
inline constexpr std::string_view kPopularityPrefix = "quincebank/popularity/";

}  // namespace quincebank
