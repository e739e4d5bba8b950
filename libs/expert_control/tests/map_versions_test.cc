#include "quincebank/expert_control/map_versions.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace quincebank {
namespace {

constexpr std::uint64_t kTerm = 7;
constexpr std::uint64_t kFirst = kTerm << 16U;
constexpr std::uint64_t kLast = kFirst + 0xffff;

struct version_case {
  const char* name;
  std::vector<std::uint64_t> observed;
  std::optional<std::uint64_t> next;
};

class map_versions_test : public testing::TestWithParam<version_case> {};

// Guards against a version that belongs to the term of another coordinator.
TEST_P(map_versions_test, AreOfTheTermAndAboveTheObserved) {
  map_versions versions;
  versions.BeginTerm(kTerm);
  for (const std::uint64_t version : GetParam().observed)
    versions.Observe(version);
  EXPECT_EQ(versions.TermEnded(), !GetParam().next);
  EXPECT_EQ(versions.Next(), GetParam().next);
}

INSTANTIATE_TEST_SUITE_P(
    observed,
    map_versions_test,
    testing::Values(version_case{"none", {}, kFirst},
                    version_case{"earlier_term", {kFirst - 1}, kFirst},
                    version_case{"same_term", {kFirst + 4}, kFirst + 5},
                    version_case{"unordered", {kFirst + 4, kFirst + 2}, kFirst + 5},
                    version_case{"last_but_one", {kLast - 1}, kLast},
                    version_case{"last", {kLast}, {}},
                    version_case{"later_term", {kLast + 1}, {}},
                    version_case{"much_later_term", {kLast << 20U}, {}}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a version that one process assigns twice, when a term is resumed after its group
// was incomplete for a while.
TEST(map_versions, AreNotAssignedAgainInAResumedTerm) {
  map_versions versions;
  versions.BeginTerm(kTerm);
  EXPECT_EQ(versions.Next(), kFirst);
  versions.BeginTerm(kTerm);
  EXPECT_EQ(versions.Next(), kFirst + 1);
  versions.BeginTerm(kTerm + 1);
  EXPECT_EQ(versions.Next(), kLast + 1);
}

}  // namespace
}  // namespace quincebank
