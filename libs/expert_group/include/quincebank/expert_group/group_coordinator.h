#pragma once

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <vector>

#include "quincebank/base/record.h"
#include "quincebank/config/effective_config.h"
#include "quincebank/expert_group/map_records.h"
#include "quincebank/expert_group/messages_json.h"
#include "quincebank/experts/count_report.h"
#include "quincebank/experts/popularity.h"
#include "quincebank/experts/rank_speed.h"
#include "quincebank/experts/rebalance.h"
#include "quincebank/node/node_control.h"

namespace quincebank {

/// \brief Plans and changes the map of a group in the agent that holds the group's lease.
///
/// The lease saves work; safety doesn't rest on it, since an epoch has one record whoever
/// coordinates. Used by the fibers of the control thread.
class group_coordinator {
 public:
  /// \param rank  of this agent; lower ranks try for the lease more often.
  group_coordinator(node_control& node,
                    map_records& records,
                    record_log& plans,
                    incarnation self,
                    const expert_group_config& group,
                    int rank);

  /// \brief Takes and renews the lease until the process stops.
  void LeaseLoop();
  /// \brief Plans once in each window while the lease is held, until the process stops.
  void PlanLoop();

  /// \brief State for `experts.status`.
  [[nodiscard]] boost::json::object Status() const;

 private:
  [[nodiscard]] bool HoldLease();
  void RunWindow();
  /// \brief Reads the reports of all agents; false unless all answered, all ranks are idle on one
  /// map, and each counter was told since that map is in use.
  [[nodiscard]] bool Collect();
  /// \brief Lets a group go on whose engines have all restarted, by a restart record.
  void RestartGroup();
  /// \brief Takes one agent's answer in; false unless it has a report and the rank is idle.
  [[nodiscard]] bool Take(std::size_t rank, const boost::json::value& answer);
  /// \brief Adds what the last reports told to the popularity estimate.
  void Observe();
  /// \brief Adds the step times of a window to the speed estimates.
  /// \param reported  ranks with a new report.
  void ObserveTimes(const std::vector<bool>& reported);
  /// \brief Makes the readers after the lease was taken; they know nothing yet.
  void StartReports();
  void Plan();
  [[nodiscard]] result<plan_input> PlanInput();
  void Change(const plan_outcome& outcome);
  [[nodiscard]] std::vector<endpoint> Agents() const;
  [[nodiscard]] group_shape Shape() const noexcept;
  /// \brief The group as configured now; its shape and ranks are those of the start.
  [[nodiscard]] expert_group_config Settings() const;

  /// Sums since the start of a rank's engine; no time if it measures none.
  struct rank_totals {
    step_number steps = 0;
    std::uint64_t tokens = 0;
    std::optional<std::int64_t> busy_ns;
  };

  node_control& node_;
  map_records& records_;
  record_log& plans_;
  const incarnation self_;
  const expert_group_config group_;
  const int rank_;
  rpc_client rpc_;
  std::string lease_;
  bool leads_ = false;
  std::size_t idle_ranks_ = 0;            ///< As reported in the last window.
  std::string hindrance_;                 ///< Why the last window made no plan.
  std::vector<count_reader> readers_;     ///< One for each rank; none without the lease.
  std::vector<rank_totals> last_totals_;  ///< Of each rank, as read last.
  std::vector<speed_history> speeds_;
  popularity_estimate estimate_;
  int windows_ = 0;
  int deferrals_ = 0;  ///< Successive plans put off for a sudden change.
  step_number next_step_ = 0;
  map_digest current_digest_;
  expert_map current_;
  boost::json::object last_plan_;
  boost::json::object last_change_;
};

}  // namespace quincebank
