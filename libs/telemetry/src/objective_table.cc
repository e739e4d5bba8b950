#include "quincebank/telemetry/objective_table.h"

#include <algorithm>
#include <utility>

#include "quincebank/base/digest.h"
#include "quincebank/base/random.h"
#include "quincebank/telemetry/burn_series.h"

namespace quincebank {

std::size_t objective_table::key_hash::operator()(const key& k) const noexcept {
  return static_cast<std::size_t>(Mix64(k.service ^ (k.workspace * 3)));
}

objective_table::key objective_table::KeyOf(std::string_view service,
                                            std::string_view workspace) noexcept {
  // 0 stands for all workspaces together.
  return {StableHash64(service), workspace.empty() ? 0 : StableHash64(workspace)};
}

objective_table::objective_table(const std::vector<objective>& objectives,
                                 const burn_settings& settings,
                                 time_point now,
                                 const objective_table* previous)
    : settings_(settings), since_(previous == nullptr ? now : previous->since_) {
  series_.reserve(objectives.size());
  for (const objective& wanted : objectives) {
    const key k = KeyOf(wanted.service, wanted.workspace);
    if (previous != nullptr) {
      const auto known = previous->series_.find(k);
      if (known != previous->series_.end() &&
          known->second->threshold() == wanted.latency_threshold &&
          known->second->SameWindows(settings_)) {
        series_.emplace(k, known->second);
        continue;
      }
    }
    series_.emplace(k, std::make_shared<burn_series>(wanted.service, wanted.workspace,
                                                     wanted.latency_threshold, settings_));
  }
}

objective_table::~objective_table() = default;

burn_series* objective_table::Find(const key& k) const noexcept {
  const auto found = series_.find(k);
  return found == series_.end() ? nullptr : found->second.get();
}

void objective_table::RecordServed(std::string_view service,
                                   std::string_view workspace,
                                   nanoseconds latency,
                                   time_point now) const {
  if (burn_series* const all = Find(KeyOf(service, {})); all != nullptr)
    all->RecordServed(latency, now);
  if (workspace.empty())
    return;
  if (burn_series* const one = Find(KeyOf(service, workspace)); one != nullptr)
    one->RecordServed(latency, now);
}

void objective_table::RecordFailed(std::string_view service,
                                   std::string_view workspace,
                                   time_point now) const {
  if (burn_series* const all = Find(KeyOf(service, {})); all != nullptr)
    all->RecordFailed(now);
  if (workspace.empty())
    return;
  if (burn_series* const one = Find(KeyOf(service, workspace)); one != nullptr)
    one->RecordFailed(now);
}

burn_counts objective_table::Counts(std::string node, time_point now) const {
  burn_counts counts;
  const auto covered = std::chrono::duration_cast<seconds>(now - since_);
  counts.nodes.push_back({std::move(node), std::clamp(covered, seconds(0), settings_.long_window)});
  for (const auto& [k, series] : series_) {
    series_counts one = series->Counts(now);
    if (one.long_window.total > 0)
      counts.series.push_back(std::move(one));
  }
  // The table has no order of its own; a stable one makes outputs comparable.
  std::sort(counts.series.begin(), counts.series.end(),
            [](const series_counts& a, const series_counts& b) {
              return a.service != b.service ? a.service < b.service : a.workspace < b.workspace;
            });
  return counts;
}

}  // namespace quincebank
