#pragma once

namespace quincebank {

struct burn_counts;
struct burn_line;
struct burn_report;
struct metrics_snapshot;
struct objective;

class counter;
class gauge;
class histogram_counts;
class latency_histogram;
class metrics_registry;
class objective_table;

}  // namespace quincebank
