#pragma once

#include <cstdint>

namespace quincebank {

class prefix_index;
class routing_table;
enum class upstream_state : std::uint8_t;
struct cache_event;
struct entry_address;
struct prefix_hits;
struct route_candidate;
struct route_decision;
struct route_input;
struct route_policy;
struct route_request;
struct route_settings;
struct upstream;
struct upstream_key;
struct upstream_load;

}  // namespace quincebank
