#include "quincebank/admission/backoff_after.h"

#include <algorithm>
#include <cmath>

#include "quincebank/base/random.h"

namespace quincebank {
namespace {

// A wait reported to callers is spread up to this factor, so that they don't all return at once.
constexpr double kSpread = 1.5;

}  // namespace

backoff_after::backoff_after(const backoff_settings& settings) noexcept : settings_(settings) {}

void backoff_after::Fade(time_point now) noexcept {
  if (now <= faded_)
    return;
  const double windows =
      std::chrono::duration<double>(now - faded_) / std::chrono::duration<double>(settings_.window);
  const double factor = std::exp2(-windows);
  sent_ *= factor;
  accepted_ *= factor;
  faded_ = now;
}

double backoff_after::RejectShare(time_point now) const noexcept {
  if (now >= until_)
    return 0;
  const double surplus = sent_ - settings_.surplus * accepted_;
  return std::clamp(surplus / (sent_ + 1), 0.0, 1.0);
}

std::optional<milliseconds> backoff_after::Check(time_point now, random_source& random) noexcept {
  Fade(now);
  const double share = RejectShare(now);
  if (share > 0 && random.Unit() < share) {
    // Counting local rejections as sent keeps the share up while callers keep asking.
    sent_ += 1;
    const std::chrono::duration<double, std::milli> left = until_ - now;
    const double spread = 1 + (kSpread - 1) * random.Unit();
    return std::max(milliseconds(1),
                    milliseconds(static_cast<milliseconds::rep>(left.count() * spread)));
  }
  return std::nullopt;
}

void backoff_after::OnAccepted(time_point now) noexcept {
  Fade(now);
  sent_ += 1;
  accepted_ += 1;
}

void backoff_after::OnRejected(milliseconds retry_after, time_point now) noexcept {
  Fade(now);
  sent_ += 1;
  until_ =
      std::max(until_, now + std::clamp(retry_after, milliseconds(0), settings_.max_retry_after));
}

}  // namespace quincebank
