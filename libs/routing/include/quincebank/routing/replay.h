#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/record.h"
#include "quincebank/routing/choose.h"

namespace quincebank {

/// Kind of the decision records that this library writes.
inline constexpr std::string_view kRouteRecordKind = "route";

/// \brief A recorded input with the memory that its views point to. It can be moved, not copied.
struct stored_route_input {
  stored_route_input() = default;
  stored_route_input(stored_route_input&&) = default;
  stored_route_input& operator=(stored_route_input&&) = default;
  stored_route_input(const stored_route_input&) = delete;
  stored_route_input& operator=(const stored_route_input&) = delete;
  ~stored_route_input() = default;

  /// \brief Returns the input; valid while this object lives and stays in place.
  [[nodiscard]] route_input View() const;

  ref_ptr<const routing_table> table;
  std::vector<upstream_load> loads;
  std::string workspace;
  std::vector<std::uint64_t> prefix;
  int priority = 0;
  milliseconds deadline = kNoDeadline;
  std::string model_version;
  std::string adapter;
  std::string failure_domain;
  std::string region;
  std::vector<upstream_key> tried;
  bool hedge = false;
  std::uint64_t seed = 0;
  std::uint64_t turn = 0;
  prefix_hits hits;
  route_settings settings;
};

/// \brief Writes all that a decision read. Per-upstream values are packed into text columns.
[[nodiscard]] boost::json::object ToJson(const route_input& input);
/// \brief Reads what `ToJson` wrote; unknown and wrong members are errors that name their path.
[[nodiscard]] result<stored_route_input> RouteInputFromJson(const boost::json::object& object);

/// \brief Writes a decision, or the error, with the ids of the upstreams.
[[nodiscard]] boost::json::object OutcomeToJson(const route_input& input,
                                                const result<route_decision>& decision);

/// \brief Makes the record of one decision.
[[nodiscard]] decision_record MakeRouteRecord(std::string request,
                                              wall_time at,
                                              const route_policy& policy,
                                              const route_input& input,
                                              const result<route_decision>& decision);

/// \brief Result of computing a recorded decision again.
struct route_replay {
  std::string policy;            ///< The policy that was run.
  boost::json::object outcome;   ///< What it decides on the recorded input.
  boost::json::object recorded;  ///< What the record says was decided.
  bool same = false;             ///< Both are equal.
};

/// \brief Computes a recorded decision again from the record alone.
///
/// \param policy  another policy to run on the recorded input; empty for the recorded one.
[[nodiscard]] result<route_replay> Replay(const decision_record& record,
                                          std::string_view policy = {});

}  // namespace quincebank
