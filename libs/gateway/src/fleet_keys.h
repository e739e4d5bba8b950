#pragma once

#include <string_view>

namespace quincebank {

/// Prefix of all keys that entries write.
inline constexpr std::string_view kOwnPrefix = "quincebank/";
/// Prefix of the keys under which entries register in the shared store.
inline constexpr std::string_view kEntryPrefix = "quincebank/entries/";
/// Holds the name and incarnation of the coordinator, the entry that rebalances experts.
inline constexpr std::string_view kCoordinatorKey = "quincebank/coordinator";
/// Number of entries in the fleet, for entries that start after all registrations were lost.
inline constexpr std::string_view kFleetSizeKey = "quincebank/fleet-size";

/// Name of the last coordinator, which claims the role first after all registrations were lost.
inline constexpr std::string_view kLastCoordinatorKey = "quincebank/last-coordinator";
/// Prefix of the keys that hold the expert popularity of each group, for the next coordinator.
inline constexpr std::string_view kPopularityPrefix = "quincebank/popularity/";

/// Prefix of the keys that hold reports on crashed upstreams, one for each upstream and entry.
inline constexpr std::string_view kCrashPrefix = "quincebank/crashes/";

}  // namespace quincebank
