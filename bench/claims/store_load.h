#pragma once

#include <cstddef>
#include <cstdint>

#include "quincebank/base/time.h"

namespace quincebank::bench {

/// \brief How entries bring their claims to the key-value service.
enum class claim_mode : std::uint8_t {
  kSingle,     ///< One write for each claim, from whichever entry has the order.
  kBatched,    ///< Each entry batches its own claims.
  kForwarded,  ///< Each bucket's claims go to its preferred entry, which batches them.
};

struct load_case {
  claim_mode mode = claim_mode::kForwarded;
  std::size_t entries = 8;
  std::uint64_t orders_per_second = 10;
  milliseconds window{20};
  seconds slice{10};
  std::uint32_t buckets = 4;
  bool timed_keys = true;  ///< Keys are UUIDv7.
  bool swap_returns_index = true;
};

struct load_result {
  double orders = 0;  ///< All rates are per second of virtual time.
  double reads = 0;
  double writes = 0;
  double conflicts = 0;  ///< Part of `writes`.
  double bytes = 0;      ///< Read and written.
  std::size_t mean_value = 0;
  std::size_t max_value = 0;
  double claim_p50_ms = 0;
  double claim_p99_ms = 0;
  std::size_t refused = 0;
};

/// \brief Runs claim writers of many entries against one service on the virtual clock.
[[nodiscard]] load_result RunLoad(const load_case& settings, seconds span, std::uint64_t seed);

}  // namespace quincebank::bench
