#include "workload.h"

#include <cmath>
#include <numbers>
#include <numeric>
#include <utility>

#include "quincebank/base/random.h"

namespace quincebank::bench {
namespace {

constexpr double kSkew = 0.6;          // Exponent of the popularity by rank order.
constexpr double kNoise = 0.03;        // Standard deviation of a window's relative noise.
constexpr double kStrongNoise = 0.10;  // In the scenario `noisy`.
constexpr double kSwing = 0.5;         // Amplitude of the season.
constexpr int kSeason = 96;            // Windows.
constexpr int kChangeWindow = 60;      // Menu change and hot expert start.
constexpr double kHotPart = 0.06;      // Of all tokens of a layer.
constexpr int kSeasonGroups = 16;      // Experts that swing together.

/// Sum of twelve uniform numbers, nearly normal with deviation 1.
double Normal(random_source& random) {
  double sum = -6;
  for (int i = 0; i < 12; ++i)
    sum += random.Unit();
  return sum;
}

std::vector<double> Skewed(int experts, random_source& random) {
  std::vector<double> weights;
  weights.reserve(static_cast<std::size_t>(experts));
  for (int e = 1; e <= experts; ++e)
    weights.push_back(std::pow(e, -kSkew));
  for (std::size_t i = weights.size() - 1; i > 0; --i)
    std::swap(weights[i], weights[random.Below(i + 1)]);
  return weights;
}

}  // namespace

std::string_view ToString(drift kind) noexcept {
  switch (kind) {
    case drift::kSteady:
      return "steady";
    case drift::kNoisy:
      return "noisy";
    case drift::kSeasonal:
      return "seasonal swing";
    case drift::kMenuChange:
      return "menu change";
    case drift::kHotExpert:
      return "hot expert";
  }
  return "unknown";
}

workload::workload(drift kind, const group_shape& shape, std::uint64_t seed)
    : kind_(kind), shape_(shape), seed_(seed) {
  random_source random(seed);
  for (int layer = 0; layer < shape.layers; ++layer) {
    base_.push_back(Skewed(shape.experts, random));
    // A menu change gives a quarter of the experts the popularity of others.
    changed_.push_back(base_.back());
    std::vector<double>& after = changed_.back();
    const auto experts = static_cast<std::uint64_t>(shape.experts);
    for (int i = 0; i < shape.experts / 8; ++i)
      std::swap(after[random.Below(experts)], after[random.Below(experts)]);
  }
}

double workload::Factor(int window, int layer, int expert) const {
  if (kind_ != drift::kSeasonal)
    return 1;
  const auto group =
      Mix64(seed_ + static_cast<std::uint64_t>(layer * shape_.experts + expert)) % kSeasonGroups;
  const double phase = static_cast<double>(group) / kSeasonGroups;
  const double turn = static_cast<double>(window) / kSeason;
  return 1 + (kSwing * std::sin(2 * std::numbers::pi * (turn + phase)));
}

window_counts workload::Window(int index) {
  random_source random(Mix64(seed_ ^ (static_cast<std::uint64_t>(index) << 32U)));
  const double noise = kind_ == drift::kNoisy ? kStrongNoise : kNoise;
  const double total = static_cast<double>(shape_.ranks) * kTokensPerRank * kStepsPerWindow;
  window_counts counts;
  for (int layer = 0; layer < shape_.layers; ++layer) {
    const bool changed = kind_ == drift::kMenuChange && index >= kChangeWindow;
    std::vector<double> weights = changed ? changed_[layer] : base_[layer];
    for (int e = 0; e < shape_.experts; ++e)
      weights[e] *= Factor(index, layer, e) * std::exp(noise * Normal(random));
    const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
    if (kind_ == drift::kHotExpert && index >= kChangeWindow)
      weights[layer] = sum * kHotPart;
    const double scale = total / std::accumulate(weights.begin(), weights.end(), 0.0);
    std::vector<std::int64_t> tokens;
    tokens.reserve(weights.size());
    for (const double weight : weights)
      tokens.push_back(std::llround(weight * scale));
    counts.tokens.push_back(std::move(tokens));
  }
  return counts;
}

std::vector<std::int64_t> MakeSpeeds(int ranks, std::uint64_t seed) {
  random_source random(seed);
  std::vector<std::int64_t> speeds;
  speeds.reserve(static_cast<std::size_t>(ranks));
  for (int rank = 0; rank < ranks; ++rank)
    speeds.push_back(920 + static_cast<std::int64_t>(random.Below(161)));
  speeds[static_cast<std::size_t>(ranks) / 3] = 700;
  return speeds;
}

}  // namespace quincebank::bench
