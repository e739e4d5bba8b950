#include "quincebank/placement/outstanding_work.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace quincebank {
namespace {

// Reported paces outside of these limits are cut to them: a wrong one must neither attract all
// requests nor keep all away.
constexpr double kMinSpeed = 0.1;
constexpr double kMaxSpeed = 4;
constexpr double kPerMille = 1'000;
// Weight of the newest report in the mean pace, which covers about a second. Without an average, a
// pace that varies with the batch would lower the limits of the busiest engines.
constexpr double kPaceWeight = 0.2;
// Age up to which loads are used, see `upstream_health`.
constexpr milliseconds kMaxReportAge{1'000};
// Weight of the newest answer in the learned speed.
constexpr double kNewestWeight = 0.2;
// Time in which a learned deviation from the mean speed falls to 37%.
constexpr seconds kSpeedMemory{10};

}  // namespace

void outstanding_work::OnSend(assigned_work& share, const work_amount& predicted) noexcept {
  share = {predicted, predicted.prompt_tokens};
  own_ += share.left;
  own_held_tokens_ += share.held_tokens;
  ++own_requests_;
}

void outstanding_work::OnOutput(assigned_work& share, double tokens, double least_left) noexcept {
  const double left = std::max(share.left.output_tokens - tokens, least_left);
  const work_amount done{share.left.prompt_tokens, share.left.output_tokens - left, {}};
  own_ -= done;
  share.left -= done;
  share.held_tokens += tokens;
  own_held_tokens_ += tokens;
}

void outstanding_work::OnEnd(assigned_work& share) noexcept {
  own_ -= share.left;
  own_held_tokens_ -= share.held_tokens;
  share = {};
  // Drops the rounding errors.
  if (--own_requests_ == 0) {
    own_ = {};
    own_held_tokens_ = 0;
  }
}

void outstanding_work::OnReport(const reported_work& report, time_point now) noexcept {
  const bool is_first = mean_pace_ == 0 || report.pace == 0 || now - reported_at_ > kMaxReportAge;
  mean_pace_ = is_first ? report.pace : mean_pace_ + kPaceWeight * (report.pace - mean_pace_);
  report_ = report;
  reported_at_ = now;
}

void outstanding_work::OnAnswered(nanoseconds duration,
                                  nanoseconds predicted,
                                  time_point now) noexcept {
  if (duration.count() <= 0 || predicted.count() <= 0)
    return;
  const double slowness =
      static_cast<double>(duration.count()) / static_cast<double>(predicted.count());
  learned_slowness_ = 1 / speed(now);
  learned_slowness_ +=
      kNewestWeight * (std::clamp(slowness, 1 / kMaxSpeed, 1 / kMinSpeed) - learned_slowness_);
  learned_at_ = now;
}

int outstanding_work::OthersWaiting(int other_requests) const noexcept {
  return std::min(report_.waiting, other_requests);
}

work_amount outstanding_work::Total(int other_requests, const mean_work& mean) const noexcept {
  const int waiting = OthersWaiting(other_requests);
  const int running = other_requests - waiting;
  work_amount total = own_;
  total += {waiting * mean.prompt_tokens,
            waiting * mean.output_tokens + running * mean.residual_output_tokens,
            other_requests * mean.duration};
  return total;
}

double outstanding_work::ExpectedMemory(int other_requests, const mean_work& mean) const noexcept {
  const int waiting = OthersWaiting(other_requests);
  const int running = other_requests - waiting;
  const double held_by_others = running * (mean.prompt_tokens + mean.output_tokens / 2);
  const double held = report_.kv_used > 0
                          ? std::max(static_cast<double>(report_.kv_used), own_held_tokens_)
                          : own_held_tokens_ + held_by_others;
  return held + own_.output_tokens + running * mean.residual_output_tokens +
         waiting * (mean.prompt_tokens + mean.output_tokens);
}

double outstanding_work::speed(time_point now) const noexcept {
  if (mean_pace_ > 0 && now - reported_at_ <= kMaxReportAge)
    return std::clamp(mean_pace_ / kPerMille, kMinSpeed, kMaxSpeed);
  const double age = std::chrono::duration<double>(now - learned_at_).count();
  const double memory = std::chrono::duration<double>(kSpeedMemory).count();
  return 1 / (1 + (learned_slowness_ - 1) * std::exp(-std::max(age, 0.0) / memory));
}

}  // namespace quincebank
