#include "quincebank/placement/upstream_evidence.h"

#include <algorithm>

namespace quincebank {
namespace {

// Weight of the newest attempt in the failure share: five failures in a row reach 0.76.
constexpr double kNewestWeight = 0.25;
// Share of failures from which an upstream rests: two of the last three attempts.
constexpr double kRestShare = 0.4;
// First rest after each outcome; doubles with each rest in a row.
constexpr milliseconds kUnreachableRest{400};
constexpr milliseconds kStalledRest{700};
constexpr milliseconds kFailedRest{1'000};
constexpr milliseconds kFullRest{60};
constexpr milliseconds kLongestRest{4'000};
// Loads are told several times a second; requests last about as long as this.
constexpr milliseconds kLoadLife{1'000};

}  // namespace

void upstream_evidence::OnSend(const send_limit& limit, time_point now) {
  ++in_flight_;
  window_.OnSend(limit, now);
}

void upstream_evidence::OnLoad(int requests, time_point now) noexcept {
  others_ = std::max(0, requests - in_flight_);
  told_ = now;
}

std::optional<int> upstream_evidence::others(time_point now) const noexcept {
  if (told_ == time_point{} || now - told_ > kLoadLife)
    return std::nullopt;
  return others_;
}

void upstream_evidence::Rest(milliseconds first, time_point now) {
  if (Rests(now))
    return;
  constexpr int kMostDoublings = 6;
  const milliseconds rest = first * (1 << std::min(rests_in_a_row_, kMostDoublings));
  rests_until_ = now + std::min(rest, kLongestRest);
  ++rests_in_a_row_;
  on_trial_ = true;
}

void upstream_evidence::OnGroupStalled(time_point now) {
  rests_until_ = std::max(rests_until_, now + kStalledRest);
}

void upstream_evidence::OnEnd(attempt_outcome outcome, time_point now) {
  --in_flight_;
  const bool failed = outcome == attempt_outcome::kFailed ||
                      outcome == attempt_outcome::kUnreachable ||
                      outcome == attempt_outcome::kStalled;
  if (failed || outcome == attempt_outcome::kServed)
    failure_share_ += kNewestWeight * ((failed ? 1.0 : 0.0) - failure_share_);
  switch (outcome) {
    case attempt_outcome::kServed:
      on_trial_ = false;
      rests_in_a_row_ = 0;
      break;
    case attempt_outcome::kFull:
      if (!Rests(now))
        rests_until_ = now + kFullRest;
      break;
    case attempt_outcome::kUnreachable:
      Rest(kUnreachableRest, now);
      break;
    case attempt_outcome::kReplaced:
      rests_until_ = now + kLongestRest;
      break;
    case attempt_outcome::kStalled:
      Rest(kStalledRest, now);
      break;
    case attempt_outcome::kFailed:
      if (failure_share_ >= kRestShare)
        Rest(kFailedRest, now);
      break;
    case attempt_outcome::kAbandoned:
      break;
  }
}

}  // namespace quincebank
