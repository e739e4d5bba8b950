#include "quincebank/placement/send_window.h"

#include <algorithm>

#include "quincebank/membership/rendezvous.h"

namespace quincebank {
namespace {

// Longer than one second, since requests of two windows may arrive within one second if the network
// delays the first ones.
constexpr milliseconds kWindow{1'150};

}  // namespace

send_limit ShareOfColdLimit(double per_second, std::size_t entries) noexcept {
  if (per_second <= 0)
    return {};
  const double share = per_second / static_cast<double>(std::max<std::size_t>(entries, 1));
  if (share >= 1)
    return {static_cast<std::size_t>(share), kWindow};
  // Even entries with less than one request per window might all send within the same second, so
  // only some of them may send.
  return {1, kWindow, std::max<std::size_t>(static_cast<std::size_t>(per_second), 1)};
}

std::size_t ExpectedEntries(std::size_t known,
                            std::size_t recorded,
                            double per_second,
                            milliseconds since_start) noexcept {
  const bool starting = since_start < kStartupTime;
  const std::size_t baseline = starting ? std::max(known, recorded) : known;
  const auto joining =
      static_cast<std::size_t>(static_cast<double>(baseline) * kUnregisteredEntryShare);
  const std::size_t expected = baseline + joining + 1;
  if (!starting || recorded > 0)
    return expected;
  return std::max(expected, static_cast<std::size_t>(per_second));
}

bool IsSender(std::string_view upstream,
              std::string_view self,
              std::span<const std::string> entries,
              std::size_t senders) noexcept {
  if (senders == 0)
    return true;
  const std::uint64_t own = RendezvousScore(upstream, self);
  const auto ranked_higher =
      std::count_if(entries.begin(), entries.end(), [&](const std::string& entry) {
        return entry != self && RendezvousScore(upstream, entry) > own;
      });
  return static_cast<std::size_t>(ranked_higher) < senders;
}

time_point send_window::AllowedFrom(const send_limit& limit) const noexcept {
  if (limit.requests == 0 || send_times_.size() < limit.requests)
    return time_point::min();
  return send_times_[send_times_.size() - limit.requests] + limit.window;
}

void send_window::OnSend(const send_limit& limit, time_point now) {
  if (limit.requests == 0)
    return;
  send_times_.push_back(now);
  while (send_times_.size() > limit.requests)
    send_times_.pop_front();
}

}  // namespace quincebank
