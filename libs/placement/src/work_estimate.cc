#include "quincebank/placement/work_estimate.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

#include "quincebank/base/digest.h"

namespace quincebank {
namespace {

// Weight of the newest sample, as its reciprocal: some ten seconds of one gateway's requests.
constexpr int kMaxSamples = 64;
// Samples from which a cell weighs as much as the coarser level. The lengths of answers vary by
// about their mean, so fewer samples say little.
constexpr double kPriorSamples = 8;
// Share of the requests that stay within the upper output, and the largest relative change of it
// with one sample.
constexpr double kUpperShare = 0.9;
constexpr double kUpperStep = 0.1;
// Upper output in relation to the expected one before the first sample: the 90th percentile of a
// log-normal distribution with a deviation of 0.7, as usual for the lengths of answers.
constexpr double kDefaultUpperFactor = 1.9;
// Output of a request about which nothing is known.
constexpr double kDefaultOutputTokens = 100;
// Duration of a request about which nothing is known. Requests of equal duration are compared by
// their number.
constexpr milliseconds kDefaultDuration{100};
// Larger hints are unusable.
constexpr std::int64_t kMaxHint = 1'000'000;

enum class cell_kind : std::uint8_t {
  kRoute,            ///< All requests of a route.
  kWorkspace,        ///< All requests of a workspace on a route.
  kHintedRoute,      ///< Those with a hint.
  kHintBucket,       ///< Those with a hint of similar size.
  kWorkspaceBucket,  ///< The same, of one workspace.
  kRouteDuration,
  kServiceTokens,
  kServiceDuration,
};

std::uint64_t Key(cell_kind kind,
                  std::string_view name,
                  std::string_view workspace = {},
                  int bucket = 0) {
  std::string text(1, static_cast<char>(kind));
  text.append(name).append(1, '\0').append(workspace).append(1, '\0');
  return StableHash64(text.append(std::to_string(bucket)));
}

/// \returns 0 if there is no usable hint.
std::int64_t UsableHint(const work_request& request) {
  const std::int64_t hint = request.expected_output_tokens;
  if (hint <= 0 || hint > kMaxHint)
    return 0;
  return request.max_output_tokens > 0 ? std::min(hint, request.max_output_tokens) : hint;
}

/// Keys from the coarsest level to the finest one.
std::array<std::uint64_t, 3> KeysWithHint(const work_request& request, std::int64_t hint) {
  const int bucket = std::bit_width(static_cast<std::uint64_t>(hint));
  return {Key(cell_kind::kHintedRoute, request.route),
          Key(cell_kind::kHintBucket, request.route, {}, bucket),
          Key(cell_kind::kWorkspaceBucket, request.route, request.workspace, bucket)};
}

std::array<std::uint64_t, 2> KeysWithoutHint(const work_request& request) {
  return {Key(cell_kind::kRoute, request.route),
          Key(cell_kind::kWorkspace, request.route, request.workspace)};
}

double Limit(double tokens, const work_request& request) {
  const double limited = request.max_output_tokens > 0
                             ? std::min(tokens, static_cast<double>(request.max_output_tokens))
                             : tokens;
  return std::max(limited, 1.0);
}

}  // namespace

work_amount& work_amount::operator+=(const work_amount& other) noexcept {
  prompt_tokens += other.prompt_tokens;
  output_tokens += other.output_tokens;
  duration += other.duration;
  return *this;
}

work_amount& work_amount::operator-=(const work_amount& other) noexcept {
  prompt_tokens -= other.prompt_tokens;
  output_tokens -= other.output_tokens;
  duration -= other.duration;
  return *this;
}

void work_estimate::cell::Add(double sample_reference,
                              double sample_value,
                              double sample_prompt) noexcept {
  samples = std::min(samples + 1, kMaxSamples);
  const double weight = 1.0 / samples;
  reference += weight * (sample_reference - reference);
  value += weight * (sample_value - value);
  square += weight * (sample_value * sample_value - square);
  prompt += weight * (sample_prompt - prompt);
  const double relative = sample_value / sample_reference;
  if (samples == 1) {
    upper = relative * kDefaultUpperFactor;
    return;
  }
  // Stochastic approximation of the quantile: at equilibrium the steps up and down cancel out.
  const double above = relative > upper ? 1.0 : 0.0;
  upper *= std::exp(kUpperStep * (above - (1 - kUpperShare)));
}

work_estimate::cell* work_estimate::Find(std::uint64_t key) {
  const auto found = by_key_.find(key);
  if (found == by_key_.end())
    return nullptr;
  cells_.splice(cells_.begin(), cells_, found->second);
  return &cells_.front();
}

work_estimate::cell& work_estimate::FindOrAdd(std::uint64_t key) {
  if (cell* const found = Find(key))
    return *found;
  if (cells_.size() >= max_cells_) {
    by_key_.erase(cells_.back().key);
    cells_.pop_back();
  }
  cells_.push_front({.key = key});
  by_key_[key] = cells_.begin();
  return cells_.front();
}

work_prediction work_estimate::PredictTokens(const work_request& request,
                                             double default_output_tokens) {
  const std::int64_t hint = UsableHint(request);
  const double reference = hint > 0 ? static_cast<double>(hint) : 1;
  double expected = hint > 0                    ? reference
                    : default_output_tokens > 0 ? default_output_tokens
                                                : kDefaultOutputTokens;
  double upper = expected * kDefaultUpperFactor;
  const auto refine = [&](std::uint64_t key) {
    const cell* const known = Find(key);
    if (known == nullptr)
      return;
    const double weight = known->samples / (known->samples + kPriorSamples);
    expected += weight * (reference * known->value / known->reference - expected);
    upper += weight * (reference * known->upper - upper);
  };
  if (hint > 0)
    std::ranges::for_each(KeysWithHint(request, hint), refine);
  else
    std::ranges::for_each(KeysWithoutHint(request), refine);
  work_prediction prediction;
  prediction.work.prompt_tokens =
      static_cast<double>(std::max<std::int64_t>(request.prompt_tokens, 0));
  prediction.work.output_tokens = Limit(expected, request);
  prediction.upper_output_tokens = Limit(std::max(upper, expected), request);
  return prediction;
}

work_prediction work_estimate::PredictDuration(std::string_view route, std::string_view service) {
  const cell* known = Find(Key(cell_kind::kRouteDuration, route));
  if (known == nullptr)
    known = Find(Key(cell_kind::kServiceDuration, service));
  work_prediction prediction;
  prediction.work.duration =
      known == nullptr ? kDefaultDuration : nanoseconds(static_cast<std::int64_t>(known->value));
  return prediction;
}

void work_estimate::OnOutput(const work_request& request,
                             std::string_view service,
                             double output_tokens) {
  if (!(output_tokens > 0))
    return;
  const auto prompt = static_cast<double>(std::max<std::int64_t>(request.prompt_tokens, 0));
  for (const std::uint64_t key : KeysWithoutHint(request))
    FindOrAdd(key).Add(1, output_tokens, prompt);
  FindOrAdd(Key(cell_kind::kServiceTokens, service)).Add(1, output_tokens, prompt);
  const std::int64_t hint = UsableHint(request);
  if (hint == 0)
    return;
  for (const std::uint64_t key : KeysWithHint(request, hint))
    FindOrAdd(key).Add(static_cast<double>(hint), output_tokens, prompt);
}

void work_estimate::OnDuration(std::string_view route,
                               std::string_view service,
                               nanoseconds duration,
                               double speed) {
  if (duration.count() <= 0)
    return;
  const double at_mean_speed = static_cast<double>(duration.count()) * speed;
  FindOrAdd(Key(cell_kind::kRouteDuration, route)).Add(1, at_mean_speed, 0);
  FindOrAdd(Key(cell_kind::kServiceDuration, service)).Add(1, at_mean_speed, 0);
}

mean_work work_estimate::Mean(std::string_view service, const work_amount& fallback) {
  mean_work mean{fallback.prompt_tokens, fallback.output_tokens, fallback.output_tokens / 2,
                 fallback.duration};
  if (const cell* const tokens = Find(Key(cell_kind::kServiceTokens, service))) {
    mean.prompt_tokens = tokens->prompt;
    mean.output_tokens = tokens->value;
    mean.residual_output_tokens = tokens->square / (2 * tokens->value);
  }
  if (const cell* const durations = Find(Key(cell_kind::kServiceDuration, service)))
    mean.duration = nanoseconds(static_cast<std::int64_t>(durations->value));
  return mean;
}

}  // namespace quincebank
