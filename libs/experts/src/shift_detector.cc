#include "quincebank/experts/shift_detector.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace quincebank {
namespace {

// Weight of the newest window in what usually moves.
constexpr double kUsualWeight = 0.2;
// Weight of what is assumed, in windows with the least number of choices.
constexpr double kAssumedWindows = 2;

double Sum(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0);
}

/// Total variation distance of two distributions, 0 to 1.
double Distance(const std::vector<double>& a, const std::vector<double>& b) {
  const double sum_a = Sum(a);
  const double sum_b = Sum(b);
  if (sum_a <= 0 || sum_b <= 0)
    return 0;
  double distance = 0;
  for (std::size_t i = 0; i < a.size(); ++i)
    distance += std::abs(a[i] / sum_a - b[i] / sum_b);
  return distance / 2;
}

}  // namespace

bool popularity_window::Add(const std::vector<std::vector<double>>& counts) {
  if (loads_.size() != counts.size()) {
    loads_ = counts;
    return false;
  }
  moved_ = 0;
  for (std::size_t set = 0; set < counts.size(); ++set)
    moved_ += Distance(counts[set], loads_[set]) / static_cast<double>(counts.size());
  const bool enough = !counts.empty() && Sum(counts.front()) >= settings_.least_choices;
  const bool shifted = enough && known() && moved_ >= settings_.least_shift &&
                       moved_ >= settings_.shift_factor * usual_;
  if (enough && known() && !shifted)
    usual_ += kUsualWeight * (moved_ - usual_);
  const double kept = shifted ? 0 : settings_.kept;
  for (std::size_t set = 0; set < counts.size(); ++set) {
    for (std::size_t expert = 0; expert < counts[set].size(); ++expert)
      loads_[set][expert] = loads_[set][expert] * kept + counts[set][expert];
  }
  return shifted;
}

void popularity_window::Assume(std::vector<std::vector<double>> loads) {
  loads_ = std::move(loads);
  // Windows weigh more than what is only assumed.
  for (std::vector<double>& of_set : loads_) {
    const double sum = Sum(of_set);
    for (double& load : of_set)
      load *= sum > 0 ? kAssumedWindows * settings_.least_choices / sum : 0;
  }
}

bool popularity_window::known() const {
  return !loads_.empty() && Sum(loads_.front()) >= settings_.least_choices;
}

}  // namespace quincebank
