#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/placement/upstream_observations.h"

namespace quincebank {

/// \brief Asks an agent for the load of the engine beside it, until the subscription lapses.
struct load_subscription {
  std::string upstream;    ///< Engine that the entry believes to be there.
  milliseconds period{0};  ///< Between two loads; 0 asks for a single one at once.

  [[nodiscard]] bool operator==(const load_subscription&) const = default;
};

/// \brief Requests at one engine, from all entries together.
struct engine_load {
  std::string upstream;
  int running = 0;
  int waiting = 0;
  std::uint64_t step = 0;  ///< Last pass that was begun; 0 if the engine forms no passes.
  /// \name Nothing, or 0, if the agent or engine does not state it.
  /// @{
  std::int64_t kv_used = 0;  ///< Tokens in the engine's memory.
  int pace = 0;              ///< Speed in per mille of the configured one.
  /// Of the engine that has answered: agents read whichever engine is beside them.
  std::uint64_t incarnation = 0;
  std::optional<observation_summary> observations;  ///< What entries report of the engine.
  /// @}

  [[nodiscard]] bool operator==(const engine_load&) const = default;
};

/// \name Datagrams between entries and agents: JSON arrays, since they are sent often.
/// @{
[[nodiscard]] std::string Encode(const load_subscription& subscription);
[[nodiscard]] result<load_subscription> DecodeSubscription(std::string_view payload);

/// \brief Leaves out what is unknown, so that entries of earlier versions can read the load.
[[nodiscard]] std::string Encode(const engine_load& load);
/// \brief Accepts messages without the later additions.
[[nodiscard]] result<engine_load> DecodeLoad(std::string_view payload);

/// \brief Agents of older versions ignore it, since it has more members than a subscription.
[[nodiscard]] std::string Encode(const upstream_observation& observation);
[[nodiscard]] result<upstream_observation> DecodeObservation(std::string_view payload);
/// @}

}  // namespace quincebank
