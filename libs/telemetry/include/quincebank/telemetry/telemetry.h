#pragma once

// IWYU pragma: begin_exports
#include "quincebank/telemetry/burn_counts.h"
#include "quincebank/telemetry/burn_report.h"
#include "quincebank/telemetry/counter.h"
#include "quincebank/telemetry/histogram_counts.h"
#include "quincebank/telemetry/latency_histogram.h"
#include "quincebank/telemetry/metrics.h"
#include "quincebank/telemetry/objective.h"
#include "quincebank/telemetry/objective_table.h"
// IWYU pragma: end_exports
