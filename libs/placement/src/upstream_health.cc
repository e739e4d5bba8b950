#include "quincebank/placement/upstream_health.h"

#include <algorithm>

namespace quincebank {
namespace {

// Weight of the newest attempt in the failure share: five failures in a row reach 0.76.
constexpr double kNewestWeight = 0.25;
// Failure share from which an upstream is ejected: two of the last three attempts.
constexpr double kEjectionShare = 0.4;
// Duration of the first ejection after each outcome. `Eject` doubles it with each consecutive one.
constexpr milliseconds kUnreachableEjection{400};
constexpr milliseconds kStalledEjection{700};
constexpr milliseconds kFailedEjection{1'000};
constexpr milliseconds kFullEjection{60};
constexpr milliseconds kMaxEjection{4'000};
// Maximum age of a load report. Loads are reported several times per second, and requests last
// about as long as this.
constexpr milliseconds kMaxLoadAge{1'000};

}  // namespace

void upstream_health::OnSend(const send_limit& limit, time_point now) {
  ++in_flight_;
  window_.OnSend(limit, now);
  stated_limit_.OnSend(now);
  reported_limit_.OnSend(now);
}

void upstream_health::OnLoad(int requests, time_point now) noexcept {
  other_requests_ = std::max(0, requests - in_flight_);
  reported_at_ = now;
}

std::optional<int> upstream_health::other_requests(time_point now) const noexcept {
  if (reported_at_ == time_point{} || now - reported_at_ > kMaxLoadAge)
    return std::nullopt;
  return other_requests_;
}

void upstream_health::Eject(milliseconds initial, time_point now) {
  if (IsEjected(now))
    return;
  constexpr int kMaxDoublings = 6;
  const milliseconds duration = initial * (1 << std::min(consecutive_ejections_, kMaxDoublings));
  ejected_until_ = now + std::min(duration, kMaxEjection);
  ++consecutive_ejections_;
  probing_ = true;
}

void upstream_health::OnSilent(time_point now) {
  ejected_until_ = std::max(ejected_until_, now + kStalledEjection);
}

void upstream_health::OnReplaced(time_point now) noexcept {
  replaced_until_ = now + kMaxEjection;
}

void upstream_health::OnGroupStalled(time_point now) {
  ejected_until_ = std::max(ejected_until_, now + kStalledEjection);
}

void upstream_health::OnEnd(attempt_outcome outcome, time_point now) {
  --in_flight_;
  const bool failed = outcome == attempt_outcome::kFailed ||
                      outcome == attempt_outcome::kUnreachable ||
                      outcome == attempt_outcome::kStalled;
  if (failed || outcome == attempt_outcome::kServed)
    failure_share_ += kNewestWeight * ((failed ? 1.0 : 0.0) - failure_share_);
  switch (outcome) {
    case attempt_outcome::kServed:
      probing_ = false;
      consecutive_ejections_ = 0;
      break;
    case attempt_outcome::kFull:
      if (!IsEjected(now))
        ejected_until_ = now + kFullEjection;
      break;
    case attempt_outcome::kUnreachable:
      Eject(kUnreachableEjection, now);
      break;
    case attempt_outcome::kReplaced:
      OnReplaced(now);
      ejected_until_ = now + kMaxEjection;
      break;
    case attempt_outcome::kStalled:
      Eject(kStalledEjection, now);
      break;
    case attempt_outcome::kFailed:
      if (failure_share_ >= kEjectionShare)
        Eject(kFailedEjection, now);
      break;
    case attempt_outcome::kAbandoned:
      break;
  }
}

}  // namespace quincebank
