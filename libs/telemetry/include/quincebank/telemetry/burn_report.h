#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/time.h"
#include "quincebank/telemetry/burn_counts.h"
#include "quincebank/telemetry/objective.h"

namespace quincebank {

/// \brief What an operator should do about an objective.
enum class alert_state : std::uint8_t {
  kNoData,    ///< Too few requests to tell.
  kOk,        ///< The budget lasts.
  kSlowBurn,  ///< Look at it during the day.
  kFastBurn,  ///< Look at it now.
};

/// \brief Returns `no-data`, `ok`, `slow-burn` or `fast-burn`.
[[nodiscard]] std::string_view ToString(alert_state state) noexcept;

/// \brief The two halves of an objective.
enum class objective_kind : std::uint8_t { kAvailability, kLatency };

/// \brief Returns `availability` or `latency`.
[[nodiscard]] std::string_view ToString(objective_kind kind) noexcept;

/// \brief Burn of one half of one objective.
struct burn_line {
  std::string service;
  std::string workspace;  ///< Empty for all workspaces together.
  objective_kind kind = objective_kind::kAvailability;
  double target = 0;        ///< Required share of good requests.
  std::uint64_t total = 0;  ///< Requests in the long window.
  std::uint64_t bad = 0;    ///< Bad requests in the long window.
  double short_burn = 0;    ///< Share of bad requests divided by the permitted share.
  double long_burn = 0;
  double budget_left =
      1;  ///< Share of the long window's budget that is left; below 0 if overdrawn.
  std::optional<double> p95_ms;  ///< Latency line of a whole service only.
  alert_state state = alert_state::kNoData;
};

/// \brief Burn of all objectives over the nodes that were merged.
struct burn_report {
  std::size_t nodes = 0;
  seconds shortest_cover{0};     ///< How long the node that started last has counted.
  std::vector<burn_line> lines;  ///< Worst state first, then by name.

  [[nodiscard]] alert_state worst() const noexcept;
};

/// \brief Computes the report. Objectives without counts are reported as `no-data`.
[[nodiscard]] burn_report MakeBurnReport(const burn_counts& counts,
                                         const std::vector<objective>& objectives,
                                         const burn_settings& settings);

/// \brief Returns the report as a table for a terminal.
[[nodiscard]] std::string ToText(const burn_report& report);
[[nodiscard]] boost::json::object ToJson(const burn_report& report);

}  // namespace quincebank
