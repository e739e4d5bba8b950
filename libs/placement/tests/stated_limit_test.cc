#include "quincebank/placement/stated_limit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "quincebank/base/random.h"
#include "quincebank/placement/upstream_health.h"

namespace quincebank {
namespace {

constexpr time_point kStart{seconds(1'000)};
constexpr seconds kWindow{4};
constexpr seconds kReaction{3};  ///< From the first answer that states a limit.
constexpr seconds kChange{15};   ///< When a limit rises or falls.

struct stated_limit_case {
  const char* name;
  std::size_t entries;
  double per_second;
  milliseconds learn{300};  ///< Time within which the entries learn of the limit.
  double later = -1;        ///< Limit from `kChange` on; negative: the same.
};

class stated_limit_test : public testing::TestWithParam<stated_limit_case> {
 protected:
  [[nodiscard]] double LimitAt(milliseconds at) const {
    return GetParam().later >= 0 && at >= kChange ? GetParam().later : GetParam().per_second;
  }

  /// \returns When requests are sent by entries that always have some and learn of the limit from
  /// each answer.
  [[nodiscard]] std::vector<milliseconds> Saturate(std::uint64_t seed) const {
    random_source random(seed);
    std::vector<upstream_health> entries(GetParam().entries);
    std::vector<milliseconds> learned;
    for (std::size_t i = 0; i < entries.size(); ++i)
      learned.emplace_back(random.Below(static_cast<std::uint64_t>(GetParam().learn.count()) + 1));
    std::vector<milliseconds> sent;
    for (milliseconds at{0}; at < seconds(40); at += milliseconds(2)) {
      for (std::size_t i = 0; i < entries.size(); ++i) {
        const bool learns = at == learned[i] - learned[i] % 2;
        const double phase = LimitPhase("upstream", i, entries.size(), random.Unit());
        if (learns)
          entries[i].OnStatedLimit(LimitAt(at), entries.size(), phase, kStart + at);
        if (at < learned[i] || !entries[i].Allows({}, kStart + at))
          continue;
        entries[i].OnSend({}, kStart + at);
        entries[i].OnStatedLimit(LimitAt(at), entries.size(), phase, kStart + at);
        sent.push_back(at);
      }
    }
    return sent;
  }
};

// Guards against an upstream that gets far more than the limit which it states for all entries.
TEST_P(stated_limit_test, AllEntriesTogetherKeepIt) {
  constexpr double kTolerated = 1.5;
  constexpr double kBeyond = 5;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const std::vector<milliseconds> sent = Saturate(seed);
    for (std::size_t first = 0; first < sent.size(); ++first) {
      const bool learning =
          sent[first] < kReaction || (sent[first] >= kChange && sent[first] < kChange + kReaction);
      if (learning)
        continue;
      const auto end = std::lower_bound(sent.begin(), sent.end(), sent[first] + kWindow);
      const double limit = std::max(LimitAt(sent[first]), LimitAt(sent[first] + kWindow));
      ASSERT_LE(static_cast<double>(end - sent.begin()) - static_cast<double>(first),
                kTolerated * limit * kWindow.count() + kBeyond)
          << "seed " << seed << ", from " << sent[first].count() << " ms";
    }
  }
}

// Guards against a limit that leaves most of what the upstream takes unused.
TEST_P(stated_limit_test, MostOfItIsUsed) {
  const std::vector<milliseconds> sent = Saturate(1);
  const auto counted = std::count_if(
      sent.begin(), sent.end(), [](milliseconds at) { return at >= seconds(5) && at < kChange; });
  EXPECT_GE(static_cast<double>(counted), 0.7 * 10 * GetParam().per_second);
}

INSTANTIATE_TEST_SUITE_P(
    limits,
    stated_limit_test,
    testing::Values(stated_limit_case{"small_fleet", 6, 2.3},
                    stated_limit_case{"alone", 1, 2.3},
                    stated_limit_case{"large_fleet", 98, 2.3},
                    stated_limit_case{"large_fleet_learns_slowly", 98, 2.3, milliseconds(8'000)},
                    stated_limit_case{"many_per_second", 6, 60},
                    stated_limit_case{"below_one", 6, 0.3},
                    stated_limit_case{"none_at_all", 98, 0},
                    stated_limit_case{"huge", 6, 2'000},
                    stated_limit_case{"rises", 8, 2, milliseconds(300), 20},
                    stated_limit_case{"falls", 8, 20, milliseconds(300), 2},
                    stated_limit_case{"falls_to_none", 8, 20, milliseconds(300), 0}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(stated_limit, EndsWhenItIsWithdrawn) {
  stated_limit limit;
  EXPECT_TRUE(limit.OnStated(1, 4, 0.5, kStart));
  EXPECT_FALSE(limit.OnStated(1, 4, 0.5, kStart));
  EXPECT_GT(limit.AllowedFrom(), kStart);
  EXPECT_TRUE(limit.OnWithdrawn());
  EXPECT_FALSE(limit.OnWithdrawn());
  EXPECT_EQ(limit.AllowedFrom(), time_point::min());
}

}  // namespace
}  // namespace quincebank
