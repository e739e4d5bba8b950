#pragma once

#include <cstddef>
#include <deque>
#include <span>
#include <string>
#include <string_view>

#include "quincebank/base/time.h"

namespace quincebank {

/// Entries (instances of the load balancer) that may have joined without being known yet, as a
/// share of the known ones.
inline constexpr double kUnregisteredEntryShare = 0.5;
/// Time within which entries that start together have started and registered.
inline constexpr milliseconds kStartupTime{5'000};

/// \brief Limit on the requests that one entry sends to one upstream.
struct send_limit {
  std::size_t requests = 0;  ///< Maximum in one window; 0: no limit.
  milliseconds window{1'000};
  /// Number of entries that may send at all, if there are more entries than requests per second;
  /// 0: all.
  std::size_t senders = 0;
};

/// \brief Returns one entry's share of the rate limit of a cold upstream.
///
/// Entries apply their shares to warm upstreams too: an upstream may become cold at any moment, and
/// entries learn of it late.
///
/// \param per_second  requests per second that a cold upstream can take; 0: no limit.
/// \param entries  number of entries that may send, including those that are about to join.
[[nodiscard]] send_limit ShareOfColdLimit(double per_second, std::size_t entries) noexcept;

/// \brief Returns how many entries may send to the upstreams of a service.
///
/// An entry that has just started may know only a few of those that started with it. It then
/// assumes at least as many as were recorded before. Without a record it assumes the largest number
/// at which all entries may still send, which gives the smallest such share.
///
/// \param known  entries that are registered, including this one.
/// \param recorded  number of entries recorded in the store; 0 if there is no record.
/// \param per_second  requests per second that a cold upstream can take.
/// \param since_start  age of this process.
[[nodiscard]] std::size_t ExpectedEntries(std::size_t known,
                                          std::size_t recorded,
                                          double per_second,
                                          milliseconds since_start) noexcept;

/// \brief Whether an entry is one of the `senders` entries that may send to an upstream.
///
/// Rendezvous hashing: all entries with the same list select the same senders, and the senders
/// differ between upstreams.
///
/// \param upstream  id of the upstream.
/// \param self  name of this entry.
/// \param entries  names of all known entries.
/// \param senders  number of senders; 0: all entries.
[[nodiscard]] bool IsSender(std::string_view upstream,
                            std::string_view self,
                            std::span<const std::string> entries,
                            std::size_t senders) noexcept;

/// \brief Sliding window over the requests that one entry has sent to one upstream.
class send_window {
 public:
  [[nodiscard]] bool Allows(const send_limit& limit, time_point now) const noexcept {
    return now >= AllowedFrom(limit);
  }
  /// \brief When the next request may be sent; `time_point::min()` if one may be sent immediately
  /// because the limit is off or not reached.
  [[nodiscard]] time_point AllowedFrom(const send_limit& limit) const noexcept;
  /// \brief Counts a request that is sent.
  void OnSend(const send_limit& limit, time_point now);

 private:
  std::deque<time_point> send_times_;
};

}  // namespace quincebank
