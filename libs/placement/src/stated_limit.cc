#include "quincebank/placement/stated_limit.h"

#include <algorithm>
#include <cmath>

#include "quincebank/base/digest.h"

namespace quincebank {
namespace {

// The end of a limit shows only in an answer, so a few requests are sent whatever the limit is. An
// upstream tolerates five requests beyond its limit in four seconds.
constexpr double kMinPerSecond = 0.5;
constexpr milliseconds kMaxAhead{500};
// A new limit that makes the interval longer by this factor counts as a limit that begins: what was
// saved up under the old one would be sent at once.
constexpr int kSharpFall = 2;

nanoseconds Part(nanoseconds interval, double part) noexcept {
  return nanoseconds(static_cast<nanoseconds::rep>(static_cast<double>(interval.count()) * part));
}

}  // namespace

double LimitPhase(std::string_view upstream,
                  std::size_t rank,
                  std::size_t entries,
                  double random) noexcept {
  constexpr std::uint64_t kOffsets = 1'000;
  const double offset = static_cast<double>(StableHash64(upstream) % kOffsets) / kOffsets;
  const double place =
      (static_cast<double>(rank) + random) / static_cast<double>(std::max<std::size_t>(entries, 1));
  return std::fmod(place + offset, 1.0);
}

bool stated_limit::OnStated(double per_second,
                            std::size_t entries,
                            double phase,
                            time_point now) noexcept {
  const bool began = !active();
  const nanoseconds before = interval_;
  const double share =
      std::max(per_second, kMinPerSecond) / static_cast<double>(std::max<std::size_t>(entries, 1));
  interval_ = std::max(Part(seconds(1), 1 / share), nanoseconds(1));
  if (began || interval_ >= kSharpFall * before) {
    next_ = now + Ahead() + Part(interval_, phase);
  } else if (next_ > now) {
    next_ = now + Part(next_ - now, static_cast<double>(interval_.count()) /
                                        static_cast<double>(before.count()));
  }
  return began;
}

bool stated_limit::OnWithdrawn() noexcept {
  const bool ended = active();
  interval_ = nanoseconds(0);
  return ended;
}

void stated_limit::OnSend(time_point now) noexcept {
  if (active())
    next_ = std::max(next_, now) + interval_;
}

time_point stated_limit::AllowedFrom() const noexcept {
  return active() ? next_ - Ahead() : time_point::min();
}

nanoseconds stated_limit::Ahead() const noexcept {
  return std::max(nanoseconds(kMaxAhead) - interval_, nanoseconds(0));
}

}  // namespace quincebank
