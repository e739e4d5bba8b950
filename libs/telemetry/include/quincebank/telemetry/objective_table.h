#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "quincebank/base/ref_counted.h"
#include "quincebank/base/time.h"
#include "quincebank/telemetry/burn_counts.h"
#include "quincebank/telemetry/objective.h"

namespace quincebank {

class burn_series;

/// \brief Counts requests against the objectives of one configuration version on one node.
///
/// The set of objectives is fixed, so traffic threads share a table without a lock. A new
/// configuration gets a new table that takes over the counts of objectives that it keeps. A request
/// counts for its service and for its workspace, where they have objectives. The windows of an
/// objective take memory once a request has counted for it.
class objective_table : public ref_counted<objective_table> {
 public:
  /// \param previous  table to take counts over from; may be null.
  objective_table(const std::vector<objective>& objectives,
                  const burn_settings& settings,
                  time_point now,
                  const objective_table* previous = nullptr);
  ~objective_table();
  objective_table(const objective_table&) = delete;
  objective_table& operator=(const objective_table&) = delete;

  /// \brief Counts an answered request.
  void RecordServed(std::string_view service,
                    std::string_view workspace,
                    nanoseconds latency,
                    time_point now) const;
  /// \brief Counts a request that failed for a reason of the system. Faults of the caller don't
  /// count at all.
  void RecordFailed(std::string_view service, std::string_view workspace, time_point now) const;

  /// \brief Returns the counts of both windows. Objectives without requests are left out.
  [[nodiscard]] burn_counts Counts(std::string node, time_point now) const;

 private:
  struct key {
    std::uint64_t service = 0;
    std::uint64_t workspace = 0;

    [[nodiscard]] bool operator==(const key&) const noexcept = default;
  };
  struct key_hash {
    [[nodiscard]] std::size_t operator()(const key& k) const noexcept;
  };

  [[nodiscard]] static key KeyOf(std::string_view service, std::string_view workspace) noexcept;
  [[nodiscard]] burn_series* Find(const key& k) const noexcept;

  const burn_settings settings_;
  const time_point since_;
  std::unordered_map<key, std::shared_ptr<burn_series>, key_hash> series_;
};

}  // namespace quincebank
