#include "../src/rendezvous.h"

#include <gtest/gtest.h>

#include <numeric>
#include <ostream>
#include <string>

#include "quincebank/base/random.h"

namespace quincebank {
namespace {

struct pool_shape {
  std::size_t size;
  std::uint32_t weights;  ///< Number of different weights.
};

void PrintTo(const pool_shape& shape, std::ostream* out) {
  *out << shape.size << " members, " << shape.weights << " weights";
}

class nearest_test : public testing::TestWithParam<pool_shape> {};

// Guards against a shortcut of the scan that misses one of the nearest: entries that take the
// shortcut and entries that don't would then disagree.
TEST_P(nearest_test, EqualsAFullSort) {
  std::vector<upstream> upstreams;
  for (std::size_t i = 0; i < GetParam().size; ++i) {
    upstreams.push_back({.id = "u" + std::to_string(i),
                         .weight = 1 + 9999 * (static_cast<std::uint32_t>(i) % GetParam().weights) /
                                           GetParam().weights});
  }
  const auto table = routing_table::Build("s", std::move(upstreams)).value();
  const auto& pool = *table->FindPool("", "");
  random_source random(GetParam().size);
  for (int round = 0; round < 5000; ++round) {
    const std::uint64_t first_key = random.Next();
    const std::uint64_t second_key = random.Next();
    nearest<4> first(pool, first_key);
    nearest<2> second(pool, second_key);
    FindNearest(pool, pool.regions.front(), first, second);
    const auto expect = [&](const auto& found, std::uint64_t key, std::size_t count) {
      std::vector<std::uint32_t> sorted(pool.index.size());
      std::iota(sorted.begin(), sorted.end(), 0U);
      const std::size_t wanted = std::min(count, sorted.size());
      std::partial_sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(wanted),
                        sorted.end(), [&](std::uint32_t a, std::uint32_t b) {
                          return RendezvousDistance(pool, a, key) <
                                 RendezvousDistance(pool, b, key);
                        });
      ASSERT_EQ(found.size(), wanted);
      for (std::size_t i = 0; i < wanted; ++i)
        ASSERT_EQ(found.at(i), sorted[i]) << "key " << key;
    };
    expect(first, first_key, 4);
    expect(second, second_key, 2);
  }
}

INSTANTIATE_TEST_SUITE_P(Pools,
                         nearest_test,
                         testing::Values(pool_shape{1, 1},
                                         pool_shape{3, 1},
                                         pool_shape{16, 1},
                                         pool_shape{17, 5},
                                         pool_shape{130, 1},
                                         pool_shape{130, 3}));

}  // namespace
}  // namespace quincebank
