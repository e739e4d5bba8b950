#pragma once

#include <optional>
#include <string>
#include <vector>

#include "quincebank/entry/entry_service.h"
#include "quincebank/idempotency/claim.h"
#include "quincebank/routing/choose.h"
#include "quincebank/routing/prefix.h"

namespace quincebank {

/// \brief What the choice of an upstream reads of one request. The views must outlive the chooser.
struct choice_request {
  std::string_view request;  ///< Id, for the record.
  std::string_view workspace;
  int priority = 5;
  time_point deadline;
  const prefix_hashes& prefix;
};

/// \brief Chooses upstreams for one request and records each decision.
class target_chooser {
 public:
  target_chooser(entry_shared& shared,
                 traffic_context& context,
                 const service_config& service,
                 const service_view& view,
                 const choice_request& request,
                 std::uint64_t seed);

  /// \brief Chooses an upstream whose agent is known to be alive.
  ///
  /// If all are at their limits, it waits a while for one to have room: a short burst on a cold
  /// service is then served instead of refused. The wait and the number of waiting requests are
  /// bounded, and nothing has been sent meanwhile.
  ///
  /// \param tried  agents (`ip:port`) not to choose again.
  [[nodiscard]] result<attempt_target> Choose(const std::vector<std::string>& tried);
  /// \brief Chooses an upstream for a second copy: a warm one with a free place, preferably of
  /// another failure domain than the tried ones. It does not wait.
  [[nodiscard]] result<attempt_target> ChooseHedge(const std::vector<std::string>& tried);

 private:
  [[nodiscard]] result<attempt_target> ChooseNow(std::vector<upstream_key> tried, bool waited);
  [[nodiscard]] std::vector<upstream_load> ReadLoads() const;
  [[nodiscard]] std::vector<upstream_key> KeysOf(const std::vector<std::string>& agents) const;
  [[nodiscard]] std::optional<attempt_target> TargetOf(std::uint32_t index);
  [[nodiscard]] bool MayWait(time_point started) const;

  entry_shared& shared_;
  traffic_context& context_;
  const service_view& view_;
  const route_policy* policy_;
  const choice_request request_;
  random_source random_;
  bool hedge_ = false;
};

}  // namespace quincebank
