#include "quincebank/fleet/store_mirror.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

constexpr time_point kStart{std::chrono::hours(1)};

store_event Put(std::string key, std::uint64_t revision) {
  return {{std::move(key), "value", revision}, false};
}

store_event Removal(std::string key, std::uint64_t revision) {
  return {{std::move(key), "", revision}, true};
}

struct apply_case {
  const char* name;
  store_update update;
  std::vector<std::string> changed;
  std::vector<std::string> keys;
};

class store_mirror_test : public testing::TestWithParam<apply_case> {
 protected:
  store_mirror_test() { mirror_.Apply({{Put("a", 5), Put("b", 6)}, true, 8}, true, kStart); }

  store_mirror mirror_;
};

// Guards against a view that goes back to an older state of a key, whoever sends it.
TEST_P(store_mirror_test, TakesNewerStatesOnly) {
  EXPECT_EQ(mirror_.Apply(GetParam().update, false, kStart), GetParam().changed);
  EXPECT_EQ(mirror_.Keys(), GetParam().keys);
  EXPECT_GE(mirror_.revision(), 8U);
}

using strings = std::vector<std::string>;

INSTANTIATE_TEST_SUITE_P(
    updates,
    store_mirror_test,
    testing::Values(
        apply_case{"newer", {{Put("a", 9)}, false, 9}, strings{"a"}, strings{"a", "b"}},
        apply_case{"older", {{Put("a", 4)}, false, 9}, strings{}, strings{"a", "b"}},
        apply_case{"same", {{Put("a", 5)}, false, 9}, strings{}, strings{"a", "b"}},
        apply_case{"removed", {{Removal("a", 9)}, false, 9}, strings{"a"}, strings{"b"}},
        apply_case{"old_removal", {{Removal("a", 4)}, false, 9}, strings{}, strings{"a", "b"}},
        apply_case{"whole", {{Put("b", 6)}, true, 9}, strings{"a"}, strings{"b"}},
        apply_case{"old_whole", {{Put("b", 6)}, true, 4}, strings{}, strings{"a", "b"}},
        apply_case{"old_revision", {{}, false, 3}, strings{}, strings{"a", "b"}}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against all upstreams vanishing when leases have lapsed while the store was away.
TEST(store_mirror, RemovalsAfterAnOutageWaitForTheGracePeriod) {
  store_mirror mirror;
  mirror.Apply({{Put("a", 5), Put("b", 6)}, true, 8}, true, kStart);
  mirror.OnStoreFailure(kStart + seconds(1));
  const time_point back = kStart + seconds(5);
  EXPECT_TRUE(mirror.Apply({{Removal("a", 9), Removal("b", 10)}, false, 10}, true, back).empty());
  EXPECT_NE(mirror.Find("a"), nullptr);
  mirror.Apply({{Put("a", 11)}, false, 11}, true, back + milliseconds(500));
  EXPECT_TRUE(mirror.Expire(back + seconds(2)).empty());
  EXPECT_EQ(mirror.Expire(back + seconds(3)), strings{"b"});
  EXPECT_NE(mirror.Find("a"), nullptr);
}

// Guards against requests for an upstream that left long after the outage: the first watch after it
// may return only then.
TEST(store_mirror, TheGracePeriodCountsFromTheFirstSuccessfulCall) {
  store_mirror mirror;
  mirror.Apply({{Put("a", 5)}, true, 8}, true, kStart);
  mirror.OnStoreFailure(kStart + seconds(1));
  mirror.OnContact(kStart + seconds(9));
  const time_point later = kStart + seconds(13);
  EXPECT_EQ(mirror.Apply({{Removal("a", 9)}, false, 9}, true, later), strings{"a"});
}

TEST(store_mirror, RemovalsTakeEffectAtOnceWithoutAnOutage) {
  store_mirror mirror;
  mirror.Apply({{Put("a", 5)}, true, 8}, true, kStart);
  // A watch may have waited for long before its connection was lost.
  const time_point lost = kStart + seconds(9);
  mirror.OnStoreFailure(lost);
  EXPECT_EQ(mirror.Apply({{Removal("a", 9)}, false, 9}, true, lost + seconds(1)), strings{"a"});
}

// Guards against an entry without the store that learns of additions but not of removals.
TEST(store_mirror, PassesOnWhatChangedSinceARevision) {
  store_mirror mirror;
  mirror.Apply({{Put("a", 5), Put("b", 9)}, true, 9}, true, kStart);
  const store_update update = mirror.Since(6);
  ASSERT_EQ(update.events.size(), 1U);
  EXPECT_EQ(update.events[0].item.key, "b");
  EXPECT_EQ(update.revision, 9U);
}

}  // namespace
}  // namespace quincebank
