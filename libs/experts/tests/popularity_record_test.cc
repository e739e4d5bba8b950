#include "quincebank/experts/popularity_record.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

// Guards against a coordinator that takes over and plans for another popularity than the one before
// it has seen.
TEST(popularity_record, KeepsSharesToAPercent) {
  const std::vector<std::vector<double>> loads{{1'000, 500, 333, 250, 1}, {7, 7, 7, 7, 7}};
  const auto read = DecodePopularity(EncodePopularity(loads));
  ASSERT_TRUE(read);
  ASSERT_EQ(read.value().size(), loads.size());
  for (std::size_t set = 0; set < loads.size(); ++set) {
    for (std::size_t expert = 0; expert + 1 < loads[set].size(); ++expert) {
      EXPECT_NEAR(read.value()[set][expert], loads[set][expert] / loads[set][0], 0.01)
          << set << "/" << expert;
    }
  }
  EXPECT_LT(read.value()[0][4], 0.1);
}

TEST(popularity_record, SetsWithoutChoicesAreEven) {
  const auto read = DecodePopularity(EncodePopularity({{0, 0}}));
  ASSERT_TRUE(read);
  EXPECT_EQ(read.value()[0][0], read.value()[0][1]);
}

class bad_popularity_test : public testing::TestWithParam<const char*> {};

TEST_P(bad_popularity_test, IsRefused) {
  EXPECT_FALSE(DecodePopularity(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(texts, bad_popularity_test, testing::Values("", "{}", "[1]", "[\"*\"]"));

}  // namespace
}  // namespace quincebank
