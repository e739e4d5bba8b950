#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/telemetry/histogram_counts.h"

namespace quincebank {

/// \brief Requests of one window.
struct window_counts {
  std::uint64_t total = 0;   ///< All requests.
  std::uint64_t failed = 0;  ///< Requests that failed for a reason of the system.
  std::uint64_t slow = 0;    ///< Answered requests above the latency threshold.

  void Merge(const window_counts& other) noexcept;
};

/// \brief Counts of one objective in both windows.
struct series_counts {
  std::string service;
  std::string workspace;              ///< Empty for all workspaces together.
  milliseconds latency_threshold{0};  ///< Threshold that `slow` was counted with.
  window_counts short_window;
  window_counts long_window;
  /// Latencies in the long window; only for a whole service.
  std::optional<histogram_counts> latency;
};

/// \brief A node whose counts are included.
struct counted_node {
  std::string name;
  seconds covered{0};  ///< How long the node has counted, at most the long window.
};

/// \brief Counts of a node, or of several after merging.
struct burn_counts {
  std::vector<counted_node> nodes;
  std::vector<series_counts> series;

  /// \brief Adds the counts of other nodes.
  /// \returns An error, and changes nothing, if a node is already included or a latency threshold
  ///     differs: counts taken with two thresholds don't add up.
  [[nodiscard]] result<void> Merge(const burn_counts& other);
};

[[nodiscard]] boost::json::object ToJson(const burn_counts& counts);
/// \returns The counts, or an error with the path of the first wrong value.
[[nodiscard]] result<burn_counts> BurnCountsFromJson(const boost::json::value& value);

}  // namespace quincebank
