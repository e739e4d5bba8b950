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

/// \brief Reads engines through the agents on their hosts, and directly where no agent answers.
/// Orders always go directly.
class agent_engine_port final : public engine_port {
 public:
  /// \param port  of the agents; each listens on the address of its engine's host.
  agent_engine_port(rpc_client& rpc,
                    std::uint16_t port,
                    std::unique_ptr<engine_port> direct,
                    event_log& log);

  [[nodiscard]] std::vector<result<rank_report>> Reports(
      std::span<const upstream_record* const> ranks) override;
  [[nodiscard]] std::vector<result<pick_counts>> Counts(
      std::span<const upstream_record* const> ranks) override;
  [[nodiscard]] std::vector<result<held_experts>> Held(
      std::span<const upstream_record* const> ranks) override;
  [[nodiscard]] std::vector<order_answer> Send(std::span<const rank_order> orders,
                                               milliseconds answer_timeout) override;

 private:
  struct accumulated_counts {
    count_sum sum;
    time_point last_read = Now();
  };

  /// \brief Whether the agent beside an engine is worth a call now.
  [[nodiscard]] bool ShouldCallAgent(const upstream_record& rank) const;
  [[nodiscard]] result<boost::json::value> Call(const upstream_record& rank,
                                                const std::string& method,
                                                boost::json::object params);

  [[nodiscard]] result<pick_counts> ReadCounts(const upstream_record& rank);

  rpc_client& rpc_;
  const std::uint16_t port_;
  const std::unique_ptr<engine_port> direct_;
  event_log& log_;
  std::map<std::string, time_point, std::less<>> retry_agent_at_;  ///< By address.
  std::map<std::string, accumulated_counts, std::less<>> counts_;  ///< By upstream.
};

}  // namespace quincebank
