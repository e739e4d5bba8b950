#include "quincebank/experts/rank_speed.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>

namespace quincebank {
namespace {

constexpr std::size_t kMaxSamples = 48;
/// Lengths of the latest part that is compared with the part before it. A median of five is not
/// moved by two stalled windows; longer parts show smaller changes.
constexpr std::array<std::size_t, 3> kJumpLengths{5, 12, 24};
/// The majority of the shortest part, so all samples after a jump.
constexpr std::size_t kFirstEstimate = 3;
constexpr std::array<std::size_t, 2> kRefinements{12, 24};
/// A rank that reports no longer counts as normal after this many windows.
constexpr std::int64_t kMaxMissed = 5;
/// The bound from below leaves a straggler some load, without which its recovery can't be seen.
constexpr std::int64_t kMinSpeed = 200;
constexpr std::int64_t kMaxSpeed = 1'500;
/// Least change of an estimate, and of one from fewer samples than `kJumpLengths` begins with.
constexpr double kMinBand = 20;
constexpr double kMinEarlyBand = 100;
constexpr double kMinJump = 30;
/// 32 ranks are compared in each window; three standard errors let noise pass several times a day.
constexpr double kBandErrors = 5;
/// `speed_history::noise` is kept in hundredths, as a whole number for the record.
constexpr std::int64_t kNoiseUnit = 100;
/// So that a difference can raise the noise again.
constexpr double kMinNoise = 100;
// Samples over which the noise is averaged, at the start and later.
constexpr std::size_t kMinNoiseSamples = 24;
/// A difference counts for the noise up to this multiple of it, so that stalls hardly raise it.
constexpr std::int64_t kMaxDeviations = 3;
// Mean absolute difference of two normal variables with a standard deviation of 1.
constexpr double kDifferenceToSigma = 1.1284;
// Standard error of a median as a multiple of that of a mean.
constexpr double kMedianError = 1.2533;

/// The lower one of an even count. `values` must not be empty.
template <typename T>
T Median(std::vector<T> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

double MedianError(const speed_history& history, std::size_t samples) {
  return kMedianError * static_cast<double>(std::max(history.noise, history.group_noise)) /
         kNoiseUnit / std::sqrt(static_cast<double>(samples));
}

/// From successive differences, in which a trend hardly shows.
std::int64_t NextNoise(std::int64_t noise, std::int64_t difference, std::size_t samples) {
  const std::int64_t capped = std::min(std::abs(difference) * kNoiseUnit, kMaxDeviations * noise);
  const double deviation = static_cast<double>(capped) / kDifferenceToSigma;
  const double present = static_cast<double>(noise);
  const double next =
      present + ((deviation - present) / static_cast<double>(std::max(samples, kMinNoiseSamples)));
  return static_cast<std::int64_t>(std::llround(std::max(kMinNoise, next)));
}

/// Returns how many of the latest samples belong to a new level; 0 without a jump.
std::size_t SamplesAfterJump(const speed_history& history) {
  const std::vector<std::int64_t>& samples = history.samples;
  for (const std::size_t length : kJumpLengths) {
    if (samples.size() < 2 * length)
      break;
    const auto split = samples.end() - static_cast<std::ptrdiff_t>(length);
    const auto recent = Median(std::vector<std::int64_t>(split, samples.end()));
    const auto older = Median(std::vector<std::int64_t>(samples.begin(), split));
    const double error =
        std::hypot(MedianError(history, length), MedianError(history, samples.size() - length));
    if (std::abs(static_cast<double>(recent - older)) > std::max(kMinJump, kBandErrors * error))
      return (length + 1) / 2;
  }
  return 0;
}

/// Adds the sample of one rank.
void AddSample(speed_history& history, std::int64_t sample) {
  if (sample <= 0) {
    if (++history.missed >= kMaxMissed) {
      history = speed_history{};
      history.missed = kMaxMissed;
    }
    return;
  }
  history.before = EstimateSpeed(history);
  history.missed = 0;
  std::vector<std::int64_t>& samples = history.samples;
  if (!samples.empty())
    history.noise = NextNoise(history.noise, sample - samples.back(), samples.size());
  samples.push_back(sample);
  if (samples.size() > kMaxSamples) {
    samples.erase(samples.begin());
    history.after_jump = false;
  }
  const std::size_t kept = SamplesAfterJump(history);
  if (kept == 0)
    return;
  samples.erase(samples.begin(), samples.end() - static_cast<std::ptrdiff_t>(kept));
  history.after_jump = true;
}

}  // namespace

std::vector<std::int64_t> MeasureSpeeds(std::span<const rank_time> times) {
  std::vector<double> rates;
  for (const rank_time& time : times) {
    if (time.busy_ns > 0 && time.tokens > 0)
      rates.push_back(static_cast<double>(time.tokens) / static_cast<double>(time.busy_ns));
  }
  std::vector<std::int64_t> speeds(times.size(), 0);
  if (rates.empty())
    return speeds;
  const double median = Median(std::move(rates));
  for (std::size_t rank = 0; rank < times.size(); ++rank) {
    const rank_time& time = times[rank];
    if (time.busy_ns <= 0 || time.tokens <= 0)
      continue;
    const double rate = static_cast<double>(time.tokens) / static_cast<double>(time.busy_ns);
    // A stalled window is a sample near 0; 0 itself stands for no report.
    speeds[rank] =
        std::clamp<std::int64_t>(std::llround(rate / median * kSpeedUnit), 1, 2 * kMaxSpeed);
  }
  return speeds;
}

std::int64_t EstimateSpeed(const speed_history& history) {
  const std::vector<std::int64_t>& samples = history.samples;
  const std::size_t count = samples.size();
  if (count < (history.after_jump ? kFirstEstimate : kJumpLengths.front()))
    return history.before;
  const auto middle = Median(samples);
  double band = count < kJumpLengths.front() ? kMinEarlyBand : kMinBand;
  const bool refines = history.after_jump && std::find(kRefinements.begin(), kRefinements.end(),
                                                       count) != kRefinements.end();
  if (!refines)
    band = std::max(band, kBandErrors * MedianError(history, count));
  if (std::abs(static_cast<double>(middle - history.before)) <= band)
    return history.before;
  return std::clamp(middle, kMinSpeed, kMaxSpeed);
}

void AddSamples(std::span<speed_history> histories, std::span<const std::int64_t> samples) {
  std::vector<std::int64_t> noise;
  for (const speed_history& history : histories)
    noise.push_back(history.noise);
  for (std::size_t rank = 0; rank < samples.size(); ++rank) {
    AddSample(histories[rank], samples[rank]);
    histories[rank].group_noise = Median(noise);
  }
}

std::vector<std::int64_t> EstimateSpeeds(std::span<const speed_history> histories) {
  std::vector<std::int64_t> speeds;
  speeds.reserve(histories.size());
  for (const speed_history& history : histories)
    speeds.push_back(EstimateSpeed(history));
  return speeds;
}

}  // namespace quincebank
