#include <boost/json/array.hpp>
#include <utility>

#include "quincebank/telemetry/burn_report.h"

namespace quincebank {

boost::json::object ToJson(const burn_report& report) {
  boost::json::array lines;
  for (const burn_line& line : report.lines) {
    boost::json::object object{{"state", ToString(line.state)}, {"service", line.service},
                               {"workspace", line.workspace},   {"objective", ToString(line.kind)},
                               {"target", line.target},         {"short_burn", line.short_burn},
                               {"long_burn", line.long_burn},   {"budget_left", line.budget_left},
                               {"requests", line.total},        {"bad", line.bad}};
    if (line.p95_ms)
      object.emplace("p95_ms", *line.p95_ms);
    lines.push_back(std::move(object));
  }
  return {{"nodes", report.nodes},
          {"shortest_cover_s", report.shortest_cover.count()},
          {"worst", ToString(report.worst())},
          {"lines", std::move(lines)}};
}

}  // namespace quincebank
