#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Input and outcome of one decision, enough to compute it again.
struct decision_record {
  std::uint64_t sequence = 0;   ///< Set by `record_log::Append`; starts at 1.
  wall_time at;                 ///< For people only; no decision reads it.
  std::string request;          ///< Request or object that the decision is about.
  std::string kind;             ///< Such as `route` or `expert_map`.
  boost::json::object input;    ///< All that the decision read, its seed included.
  boost::json::object outcome;  ///< What was decided.
};

[[nodiscard]] boost::json::object ToJson(const decision_record& record);
/// \brief Reads what `ToJson` wrote; missing members stay empty.
[[nodiscard]] decision_record RecordFromJson(const boost::json::object& object);

/// \brief Writes the record as one line of JSON on standard output, for a collector.
void WriteRecordLine(const decision_record& record);

/// \brief Keeps the last decisions of a process in memory. Safe for use by several threads.
class record_log {
 public:
  /// \param sink  called for each record, under no lock of the caller; may be empty.
  explicit record_log(std::size_t capacity,
                      std::function<void(const decision_record&)> sink = nullptr);

  /// \returns The sequence number given to the record.
  std::uint64_t Append(decision_record record);
  [[nodiscard]] std::vector<decision_record> ForRequest(std::string_view request) const;
  /// \brief Returns records with a sequence above `after`, at most `limit`, oldest first.
  [[nodiscard]] std::vector<decision_record> Since(std::uint64_t after, std::size_t limit) const;

 private:
  const std::size_t capacity_;
  const std::function<void(const decision_record&)> sink_;
  mutable std::mutex mutex_;
  std::uint64_t next_ = 1;
  std::deque<decision_record> records_;
};

}  // namespace quincebank
