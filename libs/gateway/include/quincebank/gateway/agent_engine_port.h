#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "quincebank/base/clock.h"
#include "quincebank/base/event_log.h"
#include "quincebank/expert_control/count_window.h"
#include "quincebank/expert_control/engine_port.h"
#include "quincebank/rpc/rpc.h"

namespace quincebank {

/// \brief Reads the state of engine ranks through the agents on their hosts, and directly from the
/// engine if its agent does not answer. Orders always go directly to the engine.
///
/// Expert counts are read only through agents, see `Counts`.
class agent_engine_port final : public engine_port {
 public:
  /// \param port  port of the agents; each listens on the address of its engine's host. 0 if there
  ///              are no agents.
  /// \param direct  connection to the engines themselves, for orders and as a fallback.
  agent_engine_port(rpc_client& rpc,
                    std::uint16_t port,
                    std::unique_ptr<engine_port> direct,
                    event_log& log);

  [[nodiscard]] std::vector<result<rank_report>> Reports(
      std::span<const upstream_record* const> ranks) override;
  /// \brief Reads the expert counts through the agents only, since a read from another host pauses
  /// the whole group. Ranks whose agent does not answer get an error.
  [[nodiscard]] std::vector<result<pick_counts>> Counts(
      std::span<const upstream_record* const> ranks) override;
  [[nodiscard]] std::vector<result<held_experts>> Held(
      std::span<const upstream_record* const> ranks) override;
  [[nodiscard]] std::vector<order_answer> Send(std::span<const rank_order> orders,
                                               milliseconds answer_timeout) override;

 private:
  /// Counts of one rank, added up over the reads so far.
  struct accumulated_counts {
    count_sum sum;
    time_point last_read = Now();
  };

  /// \brief Whether agents are configured and the agent of this rank is not in its retry delay.
  [[nodiscard]] bool ShouldCallAgent(const upstream_record& rank) const;
  /// \brief Calls the agent of a rank. If it can't be reached, starts its retry delay.
  [[nodiscard]] result<boost::json::value> Call(const upstream_record& rank,
                                                const std::string& method,
                                                boost::json::object params);

  /// \brief Reads the counts that are new since the last read and returns the sum of all reads.
  [[nodiscard]] result<pick_counts> ReadCounts(const upstream_record& rank);

  rpc_client& rpc_;
  const std::uint16_t port_;
  const std::unique_ptr<engine_port> direct_;
  event_log& log_;
  /// When to call an unreachable agent again, by host address.
  std::map<std::string, time_point, std::less<>> retry_agent_at_;
  std::map<std::string, accumulated_counts, std::less<>> counts_;  ///< By upstream id.
};

}  // namespace quincebank
