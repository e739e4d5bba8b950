#include "report.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace quincebank {

std::string Fixed(double value, int digits) {
  std::array<char, 32> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%.*f", digits, value);
  return buffer.data();
}

void text_table::Print() const {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  for (std::size_t r = 0; r < rows_.size(); ++r) {
    std::string line = "|";
    std::string rule = "|";
    for (std::size_t i = 0; i < rows_[r].size(); ++i) {
      // The first column is text; numbers are aligned to the right.
      const std::string pad(widths[i] - rows_[r][i].size(), ' ');
      line += i == 0 ? " " + rows_[r][i] + pad + " |" : " " + pad + rows_[r][i] + " |";
      rule += std::string(widths[i] + (i == 0 ? 2 : 1), '-') + (i == 0 ? "|" : ":|");
    }
    std::puts(line.c_str());
    if (r == 0)
      std::puts(rule.c_str());
  }
  std::fflush(stdout);
}

}  // namespace quincebank
