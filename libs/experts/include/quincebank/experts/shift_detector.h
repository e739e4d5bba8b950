#pragma once

#include <cstdint>
#include <vector>

namespace quincebank {

/// \brief Settings of a `popularity_window`.
struct popularity_settings {
  /// Weight that older choices keep at each window while popularity stays as it is.
  double kept = 0.75;
  /// Share of the choices that must have moved to other experts for a window to count as a shift.
  double shift = 0.22;
  /// Choices of one set that a window needs to say anything about a shift.
  double least_choices = 3'000;
};

/// \brief Estimates the popularity of experts from windows of counts.
///
/// Averages over windows, but starts anew when a window differs from the average by far: what was
/// popular before a shift would hide what is popular now.
///
/// \example
///   popularity.Add(window);
///   if (popularity.known()) Plan(popularity.loads());
class popularity_window {
 public:
  explicit popularity_window(const popularity_settings& settings = {}) : settings_(settings) {}

  /// \param counts  choices of each expert since the last window, by set.
  /// \returns Whether popularity has shifted.
  bool Add(const std::vector<std::vector<double>>& counts);

  [[nodiscard]] const std::vector<std::vector<double>>& loads() const noexcept { return loads_; }
  /// \brief Whether there were enough choices for a plan.
  [[nodiscard]] bool known() const;
  /// \brief Share of the last window's choices that fell on other experts than before.
  [[nodiscard]] double moved() const noexcept { return moved_; }

 private:
  popularity_settings settings_;
  std::vector<std::vector<double>> loads_;
  double moved_ = 0;
};

}  // namespace quincebank
