#pragma once

namespace quincebank {

struct admission_decision;
struct admission_request;
struct admission_settings;
struct admission_state;
struct admission_ticket;
struct queue_changes;
struct rejection;
struct shed_ticket;

class admission_gate;
class adaptive_throttle;
class hedge_policy;
class retry_budget;

}  // namespace quincebank
