#pragma once

#include <cstddef>
#include <deque>
#include <span>
#include <string>
#include <string_view>

#include "quincebank/base/time.h"

namespace quincebank {

/// Entries that may join before the others know them, for each known one.
inline constexpr double kUnregisteredEntryShare = 0.5;
/// Time in which all entries that start together are up and registered.
inline constexpr milliseconds kStartupTime{5'000};

/// \brief Limit of a `send_window`.
struct send_limit {
  std::size_t requests = 0;  ///< 0: no limit.
  milliseconds window{1'000};
  /// Entries that may send at all, where there are more entries than requests in a second; 0: all.
  std::size_t senders = 0;
};

/// \brief Divides what a cold upstream can take from all entries among them.
///
/// Every entry limits itself all the time: an upstream may turn cold at any moment, and entries
/// learn of it late.
///
/// \param per_second  requests that the upstream can take in one second.
/// \param entries  entries that may send, those that are about to join included.
[[nodiscard]] send_limit ShareOfColdLimit(double per_second, std::size_t entries) noexcept;

/// \brief Entries that may send to the upstreams of a service.
///
/// An entry that has just started may know only a few of those that started with it. It then counts
/// as many as there were before, or takes the smallest share that needs no choice of senders if
/// nobody has noted their number.
///
/// \param known  entries registered at present, this one included.
/// \param remembered  entries that the store's note tells; 0 if there is no note.
/// \param per_second  requests that an upstream can take in one second.
/// \param since_start  age of this process.
[[nodiscard]] std::size_t ExpectedEntries(std::size_t known,
                                          std::size_t recorded,
                                          double per_second,
                                          milliseconds since_start) noexcept;

/// \brief Whether an entry is one of the `senders` entries that may send to an upstream.
///
/// All entries with the same list choose the same ones, and each upstream has others.
[[nodiscard]] bool IsSender(std::string_view upstream,
                            std::string_view self,
                            std::span<const std::string> entries,
                            std::size_t senders) noexcept;

/// \brief Times of the last requests sent to one upstream.
class send_window {
 public:
  [[nodiscard]] bool Allows(const send_limit& limit, time_point now) const noexcept {
    return now >= AllowedFrom(limit);
  }
  /// \brief When the next request may be sent; the past if there is no limit.
  [[nodiscard]] time_point AllowedFrom(const send_limit& limit) const noexcept;
  void OnSend(const send_limit& limit, time_point now);

 private:
  std::deque<time_point> send_times_;
};

}  // namespace quincebank
