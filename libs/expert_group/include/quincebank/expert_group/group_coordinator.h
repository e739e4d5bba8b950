#pragma once

#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <vector>

#include "quincebank/base/record.h"
#include "quincebank/config/effective_config.h"
#include "quincebank/expert_group/map_records.h"
#include "quincebank/expert_group/messages_json.h"
#include "quincebank/experts/popularity.h"
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
  /// \brief Time between two collections of token counts.
  [[nodiscard]] milliseconds Window() const;
  void RunWindow();
  /// \brief Reads the counts of all agents; false unless all answered and all ranks are idle.
  [[nodiscard]] bool Collect();
  /// \brief Lets a group go on whose engines have all restarted, by a restart record.
  /// \param answers  of all agents to `experts.status`.
  /// \returns False if a rank still has the map of the records.
  bool RestartGroup(const std::vector<std::optional<boost::json::value>>& answers);
  void Observe(const token_counts& sum);
  void Plan();
  [[nodiscard]] result<plan_input> PlanInput();
  void Change(const plan_outcome& outcome);
  [[nodiscard]] std::vector<endpoint> Agents() const;
  [[nodiscard]] group_shape Shape() const noexcept;
  /// \brief The group as configured now; its shape and ranks are those of the start.
  [[nodiscard]] expert_group_config Settings() const;

  node_control& node_;
  map_records& records_;
  record_log& plans_;
  const incarnation self_;
  const expert_group_config group_;
  const int rank_;
  rpc_client rpc_;
  std::string lease_;
  bool leads_ = false;
  std::string hindrance_;  ///< Why the last window made no plan.
  std::optional<token_counts> last_;
  popularity_estimate estimate_;
  int windows_ = 0;
  step_number next_step_ = 0;
  map_digest current_digest_;
  expert_map current_;
  boost::json::object last_plan_;
  boost::json::object last_change_;
};

}  // namespace quincebank
