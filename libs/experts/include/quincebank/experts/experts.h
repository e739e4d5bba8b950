#pragma once

// IWYU pragma: begin_exports
#include "quincebank/experts/count_budget.h"
#include "quincebank/experts/count_report.h"
#include "quincebank/experts/expert_map.h"
#include "quincebank/experts/load_split.h"
#include "quincebank/experts/placement.h"
#include "quincebank/experts/plan_json.h"
#include "quincebank/experts/popularity.h"
#include "quincebank/experts/rank_speed.h"
#include "quincebank/experts/rebalance.h"
#include "quincebank/experts/switch_agent.h"
#include "quincebank/experts/switch_coordinator.h"
#include "quincebank/experts/switch_json.h"
#include "quincebank/experts/switch_messages.h"
// IWYU pragma: end_exports
