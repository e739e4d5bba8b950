#include "quincebank/admission/concurrency_limit.h"

#include <algorithm>

namespace quincebank {
namespace {

// An increase needs as much good work as the limit, but at least this much: two fast answers are
// too few to assess an upstream.
constexpr std::size_t kMinGoodForIncrease = 3;
// The share of slow work is computed over a window as large as the work in flight, but at least
// this large: at low load a few slow requests in a row may be chance.
constexpr std::size_t kMinWindow = 8;
// More than one slow request in this many prevents an increase and discards the good work so far.
constexpr std::size_t kMinFinishedPerSlow = 8;
// The limit counts as used from three quarters on. Work that finished at a lower concurrency does
// not show whether a higher limit is safe.
constexpr std::size_t kMinUtilizationNumerator = 3;
constexpr std::size_t kMinUtilizationDenominator = 4;

}  // namespace

concurrency_limit::concurrency_limit(std::size_t cold,
                                     std::size_t full,
                                     const ramp_settings& ramp) noexcept
    : cold_limit_(cold),
      full_limit_(full),
      ramp_(ramp),
      limit_(cold),
      slow_start_threshold_(full) {}

void concurrency_limit::OnFinish(limit_revision started,
                                 work_outcome outcome,
                                 milliseconds service_time,
                                 std::size_t in_flight) noexcept {
  if (outcome == work_outcome::kIgnored || started.decreases != decreases_)
    return;
  if (outcome == work_outcome::kRefused) {
    DecreaseBelow(in_flight);
    return;
  }
  // A timeout counts only if the caller waited longer than good work takes.
  if (outcome == work_outcome::kTimedOut && service_time <= ramp_.good_service_time)
    return;
  if (outcome == work_outcome::kUpstreamError) {
    // Errors are not counted as spikes: requests that always fail would keep a healthy upstream
    // cold.
    ++finished_;
    ++slow_;
  } else {
    if (!CountServiceTime(service_time))
      return;
    const bool used = in_flight * kMinUtilizationDenominator >= limit_ * kMinUtilizationNumerator;
    const bool good = service_time <= ramp_.good_service_time;
    if (good)
      ++good_since_reset_;
    if (good && started.round == round_ && used)
      ++good_;
  }
  Adjust(in_flight);
}

void concurrency_limit::OnProgress(limit_revision started,
                                   milliseconds service_time,
                                   std::size_t in_flight) noexcept {
  if (started.decreases == decreases_ && CountServiceTime(service_time))
    Adjust(in_flight);
}

bool concurrency_limit::CountServiceTime(milliseconds service_time) noexcept {
  const double good_ms = static_cast<double>(ramp_.good_service_time.count());
  const bool spike = static_cast<double>(service_time.count()) > good_ms * ramp_.spike_factor;
  consecutive_spikes_ = spike ? consecutive_spikes_ + 1 : 0;
  if (consecutive_spikes_ >= ramp_.spike_count) {
    const std::size_t before = limit_;
    ResetToCold();
    // Slow start of the next ramp ends at half the limit at which the upstream failed.
    slow_start_threshold_ = std::max(cold_limit_, before / 2);
    return false;
  }
  ++finished_;
  if (service_time > ramp_.good_service_time)
    ++slow_;
  return true;
}

void concurrency_limit::Adjust(std::size_t in_flight) noexcept {
  if (finished_ >= std::max(std::min(limit_, in_flight), kMinWindow)) {
    if (slow_ * 2 > finished_) {
      DecreaseBelow(in_flight);
      return;
    }
    if (slow_ * kMinFinishedPerSlow > finished_)
      good_ = 0;
    finished_ = 0;
    slow_ = 0;
  }
  if (cold_ && good_since_reset_ < ramp_.warm_requests)
    return;
  if (good_ >= std::max(limit_, kMinGoodForIncrease) && slow_ * kMinFinishedPerSlow <= finished_)
    Increase();
}

void concurrency_limit::DecreaseBelow(std::size_t in_flight) noexcept {
  // If the upstream is slow below the limit, the new limit must be below the work in flight.
  const std::size_t used = std::min(limit_, in_flight);
  Decrease(static_cast<std::size_t>(static_cast<double>(used) * ramp_.decrease));
}

void concurrency_limit::Increase() noexcept {
  cold_ = false;
  good_ = 0;
  if (limit_ >= full_limit_)
    return;
  if (limit_ < slow_start_threshold_) {
    const auto increased = static_cast<std::size_t>(static_cast<double>(limit_) * ramp_.growth);
    limit_ = std::min(slow_start_threshold_, std::max(limit_ + 1, increased));
  } else {
    ++limit_;
  }
  limit_ = std::min(limit_, full_limit_);
  StartRound();
}

void concurrency_limit::Decrease(std::size_t limit) noexcept {
  limit_ = std::max(cold_limit_, std::min(limit, limit_));
  slow_start_threshold_ = limit_;
  ++decreases_;
  StartRound();
}

void concurrency_limit::ResetToCold() noexcept {
  Decrease(cold_limit_);
  slow_start_threshold_ = full_limit_;
  cold_ = true;
  good_since_reset_ = 0;
}

void concurrency_limit::SetBounds(std::size_t cold, std::size_t full) noexcept {
  if (cold == cold_limit_ && full == full_limit_)
    return;
  if (slow_start_threshold_ == full_limit_ || slow_start_threshold_ > full)
    slow_start_threshold_ = full;
  cold_limit_ = cold;
  full_limit_ = full;
  const std::size_t before = limit_;
  limit_ = cold_ ? cold : std::clamp(limit_, cold, full);
  if (limit_ < before)
    ++decreases_;
  StartRound();
}

void concurrency_limit::StartRound() noexcept {
  ++round_;
  good_ = 0;
  finished_ = 0;
  slow_ = 0;
  consecutive_spikes_ = 0;
}

}  // namespace quincebank
