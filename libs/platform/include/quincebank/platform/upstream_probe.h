#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/net/endpoint.h"
#include "quincebank/net/net_fwd.h"

namespace quincebank {

/// \brief What an upstream reports of itself, with a lag.
struct upstream_report {
  std::uint64_t boot = 0;  ///< Changes when the upstream restarts.
  int running = 0;
  int waiting = 0;
};

/// \brief Asks one upstream for its state.
class upstream_probe {
 public:
  virtual ~upstream_probe() = default;
  [[nodiscard]] virtual result<upstream_report> Probe() = 0;
};

/// \brief Parses `{"boot": 1, "running": 0, "waiting": 0}`; further members are ignored, since
/// engines report more than the balancer reads.
[[nodiscard]] result<upstream_report> ParseUpstreamReport(std::string_view text);

/// \brief Makes a probe that reads `GET /health`.
[[nodiscard]] std::unique_ptr<upstream_probe> MakeHttpProbe(http_client& http,
                                                            endpoint upstream,
                                                            milliseconds timeout);

}  // namespace quincebank
