#pragma once

#include <string>
#include <vector>

namespace quincebank {

/// \brief Text table with aligned columns, written to standard output.
class text_table {
 public:
  explicit text_table(std::vector<std::string> header) : rows_{std::move(header)} {}

  void Row(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }
  void Print() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

[[nodiscard]] std::string Fixed(double value, int digits);

/// \brief Prints the time and allocations of a decision at several sizes.
void RunDecisionTime();
/// \brief Prints the comparison of policies at several sizes.
void RunExperiment();
/// \brief Prints the change of a failure domain under each policy.
void RunDomainChange();

}  // namespace quincebank
