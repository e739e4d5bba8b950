#pragma once

#include <cstdint>
#include <functional>
#include <utility>

namespace quincebank {

/// \brief Tracks the newest era of the store that a process has learned of, from any answer of the
/// store or from another process.
class era_tracker {
 public:
  /// \brief Sets the receiver of each rise. It is called before the answer that shows the rise is
  /// used.
  void OnRise(std::function<void(std::uint64_t era)> receiver) { on_rise_ = std::move(receiver); }

  /// \brief Records the era of an answer.
  /// \returns False if the answer is from an older era than one received before. Its content no
  ///          longer holds.
  [[nodiscard]] bool Observe(std::uint64_t era) {
    if (era <= newest_)
      return era == newest_;
    newest_ = era;
    if (on_rise_)
      on_rise_(era);
    return true;
  }

  [[nodiscard]] std::uint64_t newest() const noexcept { return newest_; }

 private:
  std::uint64_t newest_ = 0;
  std::function<void(std::uint64_t)> on_rise_;
};

}  // namespace quincebank
