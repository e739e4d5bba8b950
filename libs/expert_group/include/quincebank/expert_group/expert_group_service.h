#pragma once

#include <memory>
#include <string>

#include "quincebank/base/record.h"
#include "quincebank/expert_group/group_coordinator.h"
#include "quincebank/expert_group/rank_driver.h"
#include "quincebank/node/node_control.h"
#include "quincebank/rpc/rpc_server.h"

namespace quincebank {

/// \brief The agent's part in the expert group of its upstream, if the configuration has one.
///
/// The group is taken from the first configuration that names the upstream as a rank. Costs and
/// margins follow later configurations; other ranks or another shape need a restart of the agents,
/// since orders of two drivers of one engine must not mix. All state is of the control thread.
class expert_group_service {
 public:
  expert_group_service(node_control& node,
                       incarnation self,
                       std::string upstream,
                       bool record_stdout);
  ~expert_group_service();
  expert_group_service(const expert_group_service&) = delete;
  expert_group_service& operator=(const expert_group_service&) = delete;

  /// \brief Adds `experts.prepare`, `experts.promise`, `experts.decision`, `experts.withdraw`,
  /// `experts.counts` and `experts.status`. Calls may come from any thread but the control thread.
  void AddMethods(rpc_server& rpc);
  /// \brief Called on the control thread.
  void OnConfig(const effective_config& config);

 private:
  struct member;

  void Join(const effective_config& config, const expert_group_config& group, int rank);
  [[nodiscard]] result<boost::json::value> Status(const boost::json::object& params);
  [[nodiscard]] result<boost::json::value> Counts(const boost::json::object& params);
  [[nodiscard]] result<void> CheckGroup(const boost::json::object& params) const;

  node_control& node_;
  const incarnation self_;
  const std::string upstream_;
  record_log plans_;
  std::unique_ptr<member> member_;
};

}  // namespace quincebank
