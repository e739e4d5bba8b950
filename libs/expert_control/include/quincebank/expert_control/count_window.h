#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/expert_control/engine_port.h"

namespace quincebank {

/// \brief Counts of one engine as an agent tells them: only what has come since an earlier read, so
/// that a group with thousands of counters can be read several times a second.
struct count_window {
  std::uint64_t epoch = 0;
  std::uint64_t mark = 0;   ///< Names this read; the next one may ask for what has come since.
  std::uint64_t since = 0;  ///< Read to which the counts are added; 0: counted from the start.
  std::vector<std::uint64_t> counts;

  [[nodiscard]] bool operator==(const count_window&) const = default;
};

/// \brief What a reader asks an agent for.
struct count_question {
  std::uint64_t since = 0;  ///< Read that it has; 0 if it has none.
  /// Choices of an expert, on average, that are worth telling. A rank that has read no prompt since
  /// the last read has little to tell, and most ranks have not.
  std::uint64_t least = 0;
};

/// \brief The agent's side: remembers the last read.
class count_recorder {
 public:
  /// \param first_mark  differs from agent to agent and from start to start.
  explicit count_recorder(std::uint64_t first_mark) : mark_(first_mark) {}

  /// \returns Rounded counts in units of `kCountUnit`; what is cut off comes with a later window.
  [[nodiscard]] count_window Take(pick_counts now, const count_question& question);

 private:
  std::uint64_t mark_;
  pick_counts last_;  ///< In units.
};

/// Choices in one unit of a window: plans need shares of experts to about a percent.
inline constexpr std::uint64_t kCountUnit = 32;

/// \brief The reader's side: adds windows up to the engine's counts.
class count_sum {
 public:
  /// \brief Read to ask for next; 0 if there is none.
  [[nodiscard]] std::uint64_t mark() const noexcept { return mark_; }
  /// \returns All counts; an error if the window does not continue what is known.
  [[nodiscard]] result<pick_counts> Add(const count_window& window);

 private:
  std::uint64_t mark_ = 0;
  pick_counts sum_;
};

/// \name Messages: counters as variable-length integers in base64, since JSON numbers of a large
/// group cost the coordinator most of its processor time.
/// @{
[[nodiscard]] boost::json::object ToJson(const count_window& window);
[[nodiscard]] result<count_window> CountWindowFromJson(const boost::json::value& value);
/// @}

}  // namespace quincebank
