#include "quincebank/base/verdict.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

struct combine_case {
  verdict a;
  verdict b;
  verdict both;
};

class combine_test : public testing::TestWithParam<combine_case> {};

// Guards against a "not run" answer while another copy of the attempt may have run.
TEST_P(combine_test, IsTheWeakestProof) {
  EXPECT_EQ(Combine(GetParam().a, GetParam().b), GetParam().both);
  EXPECT_EQ(Combine(GetParam().b, GetParam().a), GetParam().both);
}

INSTANTIATE_TEST_SUITE_P(
    Pairs,
    combine_test,
    testing::Values(combine_case{verdict::kNotRun, verdict::kNotRun, verdict::kNotRun},
                    combine_case{verdict::kNotRun, verdict::kMayHaveRun, verdict::kMayHaveRun},
                    combine_case{verdict::kNotRun, verdict::kRan, verdict::kRan},
                    combine_case{verdict::kRan, verdict::kMayHaveRun, verdict::kRan}));

TEST(verdict_test, SurvivesTheWire) {
  for (const verdict value : {verdict::kNotRun, verdict::kRan, verdict::kMayHaveRun})
    EXPECT_EQ(ParseVerdict(ToString(value)), value);
  EXPECT_EQ(ParseVerdict("maybe"), std::nullopt);
}

}  // namespace
}  // namespace quincebank
