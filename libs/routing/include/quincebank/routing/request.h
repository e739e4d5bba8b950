#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "quincebank/base/time.h"
#include "quincebank/routing/table.h"

namespace quincebank {

/// Highest priority; 0 is the lowest.
inline constexpr int kMaxPriority = 9;
/// Remaining deadline of a request that has none.
inline constexpr milliseconds kNoDeadline = milliseconds::max();

/// \brief What a decision knows of one request. Views must outlive the call.
struct route_request {
  std::string_view workspace;
  std::span<const std::uint64_t> prefix;  ///< From `PrefixHashes`; empty if there is no prompt.
  int priority = 5;                       ///< 0 to `kMaxPriority`.
  milliseconds deadline = kNoDeadline;    ///< Remaining time.
  std::string_view model_version;         ///< Empty: any.
  std::string_view adapter;               ///< Empty: none.
  std::string_view failure_domain;        ///< Of the caller; empty if unknown.
  std::string_view region;                ///< Of the caller; empty if unknown.
  std::span<const upstream_key> tried;    ///< Upstreams not to choose again.
  std::uint64_t seed = 0;                 ///< Random for each decision.
  /// A second copy of a slow request: it goes only to a warm upstream with a free place, so that it
  /// delays no other request.
  bool hedge = false;
  std::uint64_t turn = 0;  ///< Count of the entry's decisions; only round robin reads it.
};

}  // namespace quincebank
