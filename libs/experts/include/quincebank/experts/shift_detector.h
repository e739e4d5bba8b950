#pragma once

#include <cstdint>
#include <vector>

namespace quincebank {

/// \brief Settings of a `popularity_window`.
struct popularity_window_settings {
  /// Weight that older choices keep at each window while popularity stays as it is.
  double kept = 0.75;
  /// Share of the choices that must have moved to other experts for a window to count as a shift,
  /// at least ...
  double least_shift = 0.06;
  /// ... and this multiple of what usually moves: windows of small groups hold few requests, so
  /// that much moves by chance.
  double shift_factor = 2.5;
  double first_usual = 0.09;  ///< What is taken to move usually before windows have shown it.
  /// Choices of one set that a window needs to say anything about a shift.
  double least_choices = 3'000;
};

/// \brief Estimates the popularity of experts from windows of counts.
///
/// Answers popularity that shifts at once and altogether. Averages over windows, but starts anew
/// when a window differs from the average by far more than windows usually do: what was popular
/// before a shift would hide what is popular now, and each plan in between would be for neither.
///
/// \example
///   popularity.Add(window);
///   if (popularity.known()) Plan(popularity.loads());
class popularity_window {
 public:
  explicit popularity_window(const popularity_window_settings& settings = {})
      : settings_(settings), usual_(settings.first_usual) {}

  /// \param counts  choices of each expert since the last window, by set.
  /// \returns Whether popularity has shifted.
  bool Add(const std::vector<std::vector<double>>& counts);

  /// \brief Begins with what was popular before, as long as no window tells otherwise.
  void Assume(std::vector<std::vector<double>> loads);

  [[nodiscard]] const std::vector<std::vector<double>>& loads() const noexcept { return loads_; }
  /// \brief Whether there were enough choices for a plan.
  [[nodiscard]] bool known() const;
  /// \brief Share of the last window's choices that fell on other experts than before.
  [[nodiscard]] double moved() const noexcept { return moved_; }

 private:
  popularity_window_settings settings_;
  std::vector<std::vector<double>> loads_;
  double moved_ = 0;
  double usual_;  ///< What moves without a shift, on average.
};

}  // namespace quincebank
