#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/net/net_fwd.h"

namespace quincebank {

/// \brief Behaviour of a stand-in; each role reads what concerns it.
struct standin_settings {
  std::uint64_t seed = 1;
  milliseconds first_token{20};    ///< Engine: time to the first token of a prompt.
  milliseconds token_interval{5};  ///< Engine: time between tokens up to the full limit.
  int full_limit = 16;             ///< Upstreams: concurrent requests at full speed.
  int cold_limit = 2;              ///< Upstreams: more than this many crash a cold upstream.
  int warm_after = 8;              ///< Upstreams: answered requests that end the cold start.
  milliseconds service_time{2};    ///< Plain service: time to run one request.
  milliseconds restart_time{300};  ///< Upstreams: time that a crash takes them away.
  int ranks = 4;                   ///< Rank group: ranks in lock-step.
  int layers = 2;                  ///< Rank group: layers with experts.
  int experts = 16;                ///< Rank group: experts of a layer.
  milliseconds step_time{2};       ///< Rank group: time of one step.
  int slow_rank = 0;               ///< Rank group: rank that `slow_permille` is about.
  int slow_permille = 1000;        ///< Rank group: speed of that rank, in thousandths.
  bool checks_fencing = true;  ///< Engine, rank group: refuses orders with an old fencing token.
};

/// \brief Small replacement of a platform service for tests and the quickstart.
///
/// All state lives in one process; calls come from the fibers of one thread. `PUT /control` takes
/// a JSON object of fault switches, `GET /control` shows them with the counters.
class standin {
 public:
  virtual ~standin() = default;
  virtual void Handle(http_exchange& exchange) = 0;
};

/// \brief Makes a stand-in by the name of its role: `kv`, `hosts`, `engine`, `orders` or
/// `rank-group`.
[[nodiscard]] result<std::unique_ptr<standin>> MakeStandin(std::string_view role,
                                                           const standin_settings& settings);

[[nodiscard]] std::unique_ptr<standin> MakeKvStandin(const standin_settings& settings);
[[nodiscard]] std::unique_ptr<standin> MakeHostsStandin(const standin_settings& settings);
[[nodiscard]] std::unique_ptr<standin> MakeEngineStandin(const standin_settings& settings);
[[nodiscard]] std::unique_ptr<standin> MakeOrdersStandin(const standin_settings& settings);
/// \brief Makes all ranks of one group, with the paths `/ranks/<i>/view`, `/ranks/<i>/orders` and
/// `/ranks/<i>/tokens`.
[[nodiscard]] std::unique_ptr<standin> MakeRankGroupStandin(const standin_settings& settings);

}  // namespace quincebank
