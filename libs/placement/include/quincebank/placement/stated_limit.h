#pragma once

#include <cstddef>
#include <string_view>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Returns the part of its interval after which an entry first sends under a new limit.
///
/// The entries are spread evenly, in an order that differs between upstreams.
///
/// \param rank  number of entries with a lower name.
/// \param random  number from 0 to 1.
[[nodiscard]] double LimitPhase(std::string_view upstream,
                                std::size_t rank,
                                std::size_t entries,
                                double random) noexcept;

/// \brief Paces the requests of one entry (instance of the load balancer) to an upstream that
/// states how many requests per second it takes from all entries together. Not thread-safe.
///
/// Each entry takes an equal share, and entries begin at different moments of their interval: those
/// that learn of a limit together would otherwise send together.
class stated_limit {
 public:
  /// \brief An answer states the limit.
  /// \param per_second  at least 0.
  /// \param entries  number of entries that share the limit.
  /// \param phase  see `LimitPhase`; used when a limit begins or falls sharply.
  /// \returns Whether the limit begins.
  bool OnStated(double per_second, std::size_t entries, double phase, time_point now) noexcept;
  /// \brief An answer does not state a limit any more.
  /// \returns Whether there was one.
  bool OnWithdrawn() noexcept;
  /// \brief Counts a request that is sent.
  void OnSend(time_point now) noexcept;

  [[nodiscard]] bool active() const noexcept { return interval_ > nanoseconds(0); }
  /// \brief When the next request may be sent; `time_point::min()` without a limit.
  [[nodiscard]] time_point AllowedFrom() const noexcept;

 private:
  /// Time by which requests may be sent ahead of their interval, so that an entry with several per
  /// second can follow its load.
  [[nodiscard]] nanoseconds Ahead() const noexcept;

  nanoseconds interval_{0};  ///< Between two requests of this entry; 0 without a limit.
  time_point next_{};        ///< When the next request is due if none is sent ahead.
};

}  // namespace quincebank
