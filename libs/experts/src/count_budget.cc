#include "quincebank/experts/count_budget.h"

#include <algorithm>

#include "quincebank/experts/count_report.h"

namespace quincebank {
namespace {

constexpr milliseconds kMinWindow{1'000};
/// Of an entry: counter, mostly as the distance to the one before, and level.
constexpr std::int64_t kBytesPerEntry = 3;
constexpr std::int64_t kMaxReportBytes = 384;

}  // namespace

count_budget BudgetFor(const group_shape& shape) noexcept {
  const std::int64_t entries = std::int64_t{shape.layers} * shape.slots_per_rank;
  count_budget budget;
  budget.report_bytes = std::min(
      kMaxReportBytes, static_cast<std::int64_t>(kMinReportBytes) + (entries * kBytesPerEntry));
  const std::int64_t text = (budget.report_bytes + 2) / 3 * 4;
  const std::int64_t bytes = shape.ranks * (kCountCallBytes + text);
  budget.window = std::max(kMinWindow, milliseconds(bytes * 1'000 / kCountBytesPerSecond));
  return budget;
}

}  // namespace quincebank
