#pragma once

#include <cstddef>

namespace quincebank::bench {

struct memory_result {
  double held = 0;     ///< Heap bytes for each attempt with its answer.
  double evicted = 0;  ///< Heap bytes for each attempt after its answer was dropped.
};

/// \brief Measures the heap of a ledger that holds answers of one size.
[[nodiscard]] memory_result MeasureLedger(std::size_t attempts, std::size_t answer_bytes);

}  // namespace quincebank::bench
