#pragma once

#include <optional>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Estimates how long the requests of one route take, from those that ended recently.
class duration_estimate {
 public:
  /// \brief A request was answered after `duration`.
  void Add(milliseconds duration) noexcept;
  /// \brief Duration that few requests exceed: the moving average and four mean deviations.
  /// \returns Nothing after too few requests.
  [[nodiscard]] std::optional<milliseconds> UpperBound() const noexcept;

 private:
  nanoseconds mean_{0};
  nanoseconds deviation_{0};
  int samples_ = 0;
};

}  // namespace quincebank
