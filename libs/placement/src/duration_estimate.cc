#include "quincebank/placement/duration_estimate.h"

#include <algorithm>
#include <chrono>

namespace quincebank {
namespace {

// Samples required for an estimate.
constexpr int kMinSamples = 4;
// Reciprocals of the weight of the newest sample, and the factor of the deviation, as in the
// retransmission timeout of TCP (RFC 6298).
constexpr int kMeanDivisor = 8;
constexpr int kDeviationDivisor = 4;
constexpr int kDeviationFactor = 4;

}  // namespace

void duration_estimate::Add(milliseconds duration) noexcept {
  const nanoseconds sample = duration;
  if (samples_ == 0) {
    mean_ = sample;
    deviation_ = sample / 2;
  } else {
    deviation_ += (std::chrono::abs(sample - mean_) - deviation_) / kDeviationDivisor;
    mean_ += (sample - mean_) / kMeanDivisor;
  }
  samples_ = std::min(samples_ + 1, kMinSamples);
}

std::optional<milliseconds> duration_estimate::UpperBound() const noexcept {
  if (samples_ < kMinSamples)
    return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(mean_ + kDeviationFactor * deviation_);
}

}  // namespace quincebank
