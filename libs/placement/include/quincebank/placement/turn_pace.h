#pragma once

#include <cstddef>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief How fast the line of one service advances, from the turns of the last moments.
class turn_pace {
 public:
  /// \brief A request has joined an empty line.
  void OnLineBegins(time_point now) noexcept;
  /// \brief A request has left the line because it found room.
  void OnTurn(time_point now) noexcept;
  /// \brief Expected wait of a request that joins behind others.
  /// \returns 0 if too few turns have been seen to tell.
  [[nodiscard]] milliseconds WaitBehind(std::size_t ahead, time_point now) const noexcept;

 private:
  nanoseconds interval_{0};  ///< Between two turns, on average over the last.
  int turns_ = 0;            ///< Turns since the figure was begun.
  time_point last_{};        ///< Last turn, or the beginning of the line.
};

}  // namespace quincebank
