#include "quincebank/admission/adaptive_throttle.h"

#include <algorithm>
#include <cmath>

#include "quincebank/base/random.h"

namespace quincebank {
namespace {

// The `Retry-After` time reported to callers is multiplied by a random factor between 1 and this,
// so that they do not all retry at the same moment.
constexpr double kMaxJitterFactor = 1.5;

}  // namespace

adaptive_throttle::adaptive_throttle(const adaptive_throttle_settings& settings) noexcept
    : settings_(settings) {}

void adaptive_throttle::Decay(time_point now) noexcept {
  if (now <= decayed_at_)
    return;
  const double half_lives = std::chrono::duration<double>(now - decayed_at_) /
                            std::chrono::duration<double>(settings_.half_life);
  const double factor = std::exp2(-half_lives);
  sent_ *= factor;
  accepted_ *= factor;
  decayed_at_ = now;
}

double adaptive_throttle::RejectionProbability(time_point now) const noexcept {
  if (now >= throttled_until_)
    return 0;
  const double excess = sent_ - settings_.accepts_multiplier * accepted_;
  return std::clamp(excess / (sent_ + 1), 0.0, 1.0);
}

std::optional<milliseconds> adaptive_throttle::Check(time_point now,
                                                     random_source& random) noexcept {
  Decay(now);
  const double probability = RejectionProbability(now);
  if (probability > 0 && random.Unit() < probability) {
    // Counting local rejections as sent keeps the probability up while callers keep sending.
    sent_ += 1;
    const std::chrono::duration<double, std::milli> remaining = throttled_until_ - now;
    const double jitter = 1 + (kMaxJitterFactor - 1) * random.Unit();
    return std::max(milliseconds(1),
                    milliseconds(static_cast<milliseconds::rep>(remaining.count() * jitter)));
  }
  return std::nullopt;
}

void adaptive_throttle::OnAccepted(time_point now) noexcept {
  Decay(now);
  sent_ += 1;
  accepted_ += 1;
}

void adaptive_throttle::OnRejected(milliseconds retry_after, time_point now) noexcept {
  Decay(now);
  sent_ += 1;
  throttled_until_ = std::max(
      throttled_until_, now + std::clamp(retry_after, milliseconds(0), settings_.max_retry_after));
}

}  // namespace quincebank
