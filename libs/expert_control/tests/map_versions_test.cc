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
  std::vector<std::uint64_t> reported;  ///< At the first, second, ... assignment.
  std::vector<std::optional<std::uint64_t>> assigned;
  bool exhausted = false;  ///< In the end.
};

class map_versions_test : public testing::TestWithParam<version_case> {};

// Guards against a version that belongs to the term of another coordinator.
TEST_P(map_versions_test, AreOfTheTermAndAboveTheReported) {
  map_versions versions;
  versions.BeginTerm(kTerm);
  std::vector<std::optional<std::uint64_t>> assigned;
  for (const std::uint64_t version : GetParam().reported)
    assigned.push_back(versions.Next(version));
  EXPECT_EQ(assigned, GetParam().assigned);
  EXPECT_EQ(versions.Exhausted(), GetParam().exhausted);
}

INSTANTIATE_TEST_SUITE_P(
    reported,
    map_versions_test,
    testing::Values(version_case{"first_map", {0, 0}, {kFirst, kFirst + 1}},
                    version_case{"earlier_term", {kFirst - 1, kFirst}, {kFirst, kFirst + 1}},
                    version_case{"same_term", {kFirst + 4, kFirst + 2}, {kFirst + 5, kFirst + 6}},
                    version_case{"last_one", {kLast - 1, 0}, {kLast, std::nullopt}, true},
                    version_case{"later_term", {kLast + 1, kFirst}, {std::nullopt, kFirst + 1}},
                    version_case{"much_later_term", {kLast << 20U, 0}, {std::nullopt, kFirst}}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a version that one process assigns twice, when a term is resumed after its group
// was incomplete for a while.
TEST(map_versions, AreNotAssignedAgainInAResumedTerm) {
  map_versions versions;
  versions.BeginTerm(kTerm);
  EXPECT_EQ(versions.Next(0), kFirst);
  versions.BeginTerm(kTerm);
  EXPECT_EQ(versions.Next(0), kFirst + 1);
  versions.BeginTerm(kTerm + 1);
  EXPECT_EQ(versions.Next(0), kLast + 1);
}

}  // namespace
}  // namespace quincebank
