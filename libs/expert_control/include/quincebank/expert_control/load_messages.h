#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"

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
  std::uint64_t step = 0;    ///< Last pass that was begun; 0 if the engine forms no passes.
  std::int64_t kv_used = 0;  ///< Tokens in its memory; 0 if the engine does not tell.
  int pace = 0;  ///< Speed in per mille of the configured one; 0 if the engine does not tell.

  [[nodiscard]] bool operator==(const engine_load&) const = default;
};

/// \name Datagrams between entries and agents: JSON arrays, since they are sent often.
/// @{
[[nodiscard]] std::string Encode(const load_subscription& subscription);
[[nodiscard]] result<load_subscription> DecodeSubscription(std::string_view payload);

/// \brief Leaves `kv_used` and `pace` out if both are unknown, so that entries of earlier versions,
/// which accept no further numbers, can read the load.
[[nodiscard]] std::string Encode(const engine_load& load);
/// \brief Accepts a load with and without `kv_used` and `pace`. Whatever follows them is ignored.
[[nodiscard]] result<engine_load> DecodeLoad(std::string_view payload);
/// @}

}  // namespace quincebank
