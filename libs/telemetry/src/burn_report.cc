#include "quincebank/telemetry/burn_report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <tuple>
#include <utility>

namespace quincebank {
namespace {

constexpr std::array<std::string_view, 4> kStateNames{"no-data", "ok", "slow-burn", "fast-burn"};
constexpr std::array<std::string_view, 2> kKindNames{"availability", "latency"};
// A target of 1 permits nothing; a floor keeps its burn rate finite.
constexpr double kLeastPermitted = 1e-6;
constexpr double kP95 = 0.95;

constexpr std::size_t kColumns = 11;
constexpr std::size_t kNameColumns = 4;  // aligned to the left; numbers follow
using table_row = std::array<std::string, kColumns>;
const table_row kHeader{"STATE",    "SERVICE",    "WORKSPACE", "OBJECTIVE",
                        "TARGET",   "SHORT BURN", "LONG BURN", "BUDGET LEFT",
                        "REQUESTS", "BAD",        "P95 MS"};

struct good_and_bad {
  std::uint64_t total = 0;
  std::uint64_t bad = 0;

  [[nodiscard]] double Burn(double permitted) const noexcept {
    return total == 0 ? 0.0 : static_cast<double>(bad) / static_cast<double>(total) / permitted;
  }
};

good_and_bad Select(const window_counts& window, objective_kind kind) noexcept {
  if (kind == objective_kind::kAvailability)
    return {window.total, window.failed};
  // A failed request has no latency; it counts against availability only.
  return {window.total - std::min(window.total, window.failed), window.slow};
}

alert_state StateOf(const burn_line& line,
                    std::uint64_t short_total,
                    const burn_settings& settings) noexcept {
  if (short_total < settings.least_requests)
    return alert_state::kNoData;
  // Both windows must burn: the long one shows that it matters, the short one that it still lasts.
  const double burn = std::min(line.short_burn, line.long_burn);
  if (burn >= settings.fast_burn)
    return alert_state::kFastBurn;
  return burn >= settings.slow_burn ? alert_state::kSlowBurn : alert_state::kOk;
}

burn_line MakeLine(const objective& wanted,
                   objective_kind kind,
                   const series_counts* series,
                   const burn_settings& settings) {
  burn_line line;
  line.service = wanted.service;
  line.workspace = wanted.workspace;
  line.kind = kind;
  line.target = kind == objective_kind::kAvailability ? wanted.availability : wanted.latency_share;
  if (series == nullptr)
    return line;
  const double permitted = std::max(kLeastPermitted, 1 - line.target);
  const good_and_bad recent = Select(series->short_window, kind);
  const good_and_bad all = Select(series->long_window, kind);
  line.total = all.total;
  line.bad = all.bad;
  line.short_burn = recent.Burn(permitted);
  line.long_burn = all.Burn(permitted);
  line.budget_left = 1 - line.long_burn;
  if (kind == objective_kind::kLatency && series->latency)
    line.p95_ms = series->latency->QuantileMs(kP95);
  line.state = StateOf(line, recent.total, settings);
  return line;
}

std::string Cell(const char* format, double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), format, value);
  return text.data();
}

void Append(std::string& text, std::string_view cell, std::size_t width, bool right) {
  const std::string padding(cell.size() < width ? width - cell.size() : 0, ' ');
  text += right ? padding : "";
  text += cell;
  text += right ? "" : padding;
  text += "  ";
}

table_row MakeRow(const burn_line& line) {
  return {std::string(ToString(line.state)),
          line.service,
          line.workspace.empty() ? "*" : line.workspace,
          std::string(ToString(line.kind)),
          Cell("%.3f%%", line.target * 100),
          Cell("%.2f", line.short_burn),
          Cell("%.2f", line.long_burn),
          Cell("%.1f%%", line.budget_left * 100),
          std::to_string(line.total),
          std::to_string(line.bad),
          line.p95_ms ? Cell("%.0f", *line.p95_ms) : "-"};
}

}  // namespace

std::string_view ToString(alert_state state) noexcept {
  return kStateNames.at(static_cast<std::size_t>(state));
}

std::string_view ToString(objective_kind kind) noexcept {
  return kKindNames.at(static_cast<std::size_t>(kind));
}

alert_state burn_report::worst() const noexcept {
  alert_state state = alert_state::kNoData;
  for (const burn_line& line : lines)
    state = std::max(state, line.state);
  return state;
}

burn_report MakeBurnReport(const burn_counts& counts,
                           const std::vector<objective>& objectives,
                           const burn_settings& settings) {
  burn_report report;
  report.nodes = counts.nodes.size();
  report.shortest_cover = counts.nodes.empty() ? seconds(0) : seconds::max();
  for (const counted_node& node : counts.nodes)
    report.shortest_cover = std::min(report.shortest_cover, node.covered);
  std::map<std::pair<std::string_view, std::string_view>, const series_counts*> by_name;
  for (const series_counts& series : counts.series)
    by_name.emplace(std::pair(std::string_view(series.service), std::string_view(series.workspace)),
                    &series);
  for (const objective& wanted : objectives) {
    const auto found = by_name.find(
        std::pair(std::string_view(wanted.service), std::string_view(wanted.workspace)));
    const series_counts* const series = found == by_name.end() ? nullptr : found->second;
    for (const objective_kind kind : {objective_kind::kAvailability, objective_kind::kLatency})
      report.lines.push_back(MakeLine(wanted, kind, series, settings));
  }
  std::stable_sort(report.lines.begin(), report.lines.end(),
                   [](const burn_line& a, const burn_line& b) {
                     if (a.state != b.state)
                       return a.state > b.state;
                     return std::tie(a.service, a.workspace) < std::tie(b.service, b.workspace);
                   });
  return report;
}

std::string ToText(const burn_report& report) {
  std::vector<table_row> rows;
  rows.push_back(kHeader);
  for (const burn_line& line : report.lines)
    rows.push_back(MakeRow(line));
  std::array<std::size_t, kColumns> widths{};
  for (const table_row& row : rows) {
    for (std::size_t i = 0; i < kColumns; ++i)
      widths.at(i) = std::max(widths.at(i), row.at(i).size());
  }
  std::string text = "nodes " + std::to_string(report.nodes) + ", shortest cover " +
                     std::to_string(report.shortest_cover.count()) + " s, worst state " +
                     std::string(ToString(report.worst())) + "\n";
  for (const table_row& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < kColumns; ++i)
      Append(line, row.at(i), widths.at(i), i >= kNameColumns);
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace quincebank
