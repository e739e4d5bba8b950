#include "quincebank/telemetry/counter.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

namespace quincebank {
namespace {

struct counter_case {
  const char* name;
  std::size_t threads;
  std::uint64_t adds;
  std::uint64_t amount;
};

class counter_test : public testing::TestWithParam<counter_case> {};

// Guards against lost counts when several threads add, or more threads than there are shards.
TEST_P(counter_test, LosesNothing) {
  counter total;
  std::vector<std::thread> threads;
  threads.reserve(GetParam().threads);
  for (std::size_t i = 0; i < GetParam().threads; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t k = 0; k < GetParam().adds; ++k)
        total.Add(GetParam().amount);
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  EXPECT_EQ(total.Value(), GetParam().threads * GetParam().adds * GetParam().amount);
}

INSTANTIATE_TEST_SUITE_P(Threads,
                         counter_test,
                         testing::Values(counter_case{"none", 0, 0, 0},
                                         counter_case{"one", 1, 1000, 1},
                                         counter_case{"two", 2, 20'000, 3},
                                         counter_case{"more_than_shards", 20, 2'000, 1}),
                         [](const auto& info) { return info.param.name; });

TEST(gauge_test, GoesUpAndDown) {
  gauge value;
  value.Set(5);
  value.Add(-7);
  EXPECT_EQ(value.Value(), -2);
}

}  // namespace
}  // namespace quincebank
