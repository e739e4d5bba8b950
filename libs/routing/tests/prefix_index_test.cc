#include "quincebank/routing/prefix_index.h"

#include <gtest/gtest.h>

#include <ostream>
#include <vector>

#include "quincebank/base/random.h"
#include "quincebank/routing/prefix.h"

namespace quincebank {
namespace {

constexpr upstream_key kOne{11};
constexpr upstream_key kTwo{22};
constexpr auto kStored = cache_event_kind::kStored;
constexpr auto kEvicted = cache_event_kind::kEvicted;
constexpr auto kCleared = cache_event_kind::kCleared;

struct step {
  std::uint64_t boot;
  std::uint64_t sequence;
  cache_event_kind kind;
  std::vector<std::uint64_t> blocks;
};

struct event_case {
  std::string_view name;
  std::vector<step> steps;
  std::uint32_t held;  ///< Blocks of the prompt 1, 2, 3, 4 that are reported afterwards.
};

void PrintTo(const event_case& one, std::ostream* out) {
  *out << one.name;
}

class cache_event_test : public testing::TestWithParam<event_case> {};

// Guards against blocks that are reported although the engine may have evicted them.
TEST_P(cache_event_test, ReportsWhatCanBeTrusted) {
  prefix_index index(64);
  for (const step& one : GetParam().steps) {
    index.Apply({.upstream = kOne,
                 .boot = one.boot,
                 .sequence = one.sequence,
                 .kind = one.kind,
                 .blocks = one.blocks});
  }
  const std::vector<std::uint64_t> prompt{1, 2, 3, 4};
  const prefix_hits hits = index.Find(prompt);
  EXPECT_EQ(hits.count, GetParam().held == 0 ? 0U : 1U);
  EXPECT_EQ(hits.hit[0].blocks, GetParam().held);
}

const event_case kEventCases[] = {
    {"Nothing", {}, 0},
    {"Stored", {{1, 5, kStored, {1, 2}}}, 2},
    {"StoredInTwoEvents", {{1, 5, kStored, {1, 2}}, {1, 6, kStored, {3, 4}}}, 4},
    {"Evicted", {{1, 5, kStored, {1, 2, 3}}, {1, 6, kEvicted, {3, 2}}}, 1},
    {"GapDropsWhatWasBefore", {{1, 5, kStored, {1, 2, 3}}, {1, 7, kStored, {9}}}, 0},
    {"GapKeepsWhatComesAfter", {{1, 5, kStored, {3}}, {1, 7, kStored, {1, 2}}}, 2},
    {"GapIsHealedByStoringAgain",
     {{1, 5, kStored, {1, 2}}, {1, 8, kStored, {9}}, {1, 9, kStored, {1, 2}}},
     2},
    {"RepeatedEvent", {{1, 5, kStored, {1}}, {1, 6, kStored, {2}}, {1, 6, kStored, {2}}}, 2},
    {"LateStoreIsIgnored", {{1, 5, kStored, {1}}, {1, 7, kStored, {1}}, {1, 6, kStored, {2}}}, 1},
    {"LateEvictionCounts",
     {{1, 5, kStored, {9}}, {1, 7, kStored, {1, 2}}, {1, 6, kEvicted, {2}}},
     1},
    {"Restart", {{1, 5, kStored, {1, 2}}, {2, 1, kStored, {9}}}, 0},
    {"RestartWithALowerNumber", {{7, 5, kStored, {1, 2}}, {3, 6, kStored, {1}}}, 1},
    {"LateEventOfTheBootBefore",
     {{1, 5, kStored, {9}}, {2, 1, kStored, {1}}, {1, 6, kStored, {2, 3}}, {2, 2, kStored, {9}}},
     1},
    {"Cleared", {{1, 5, kStored, {1, 2}}, {1, 6, kCleared, {}}}, 0},
    {"StoredAfterClear", {{1, 5, kStored, {1, 2}}, {1, 6, kCleared, {}}, {1, 7, kStored, {1}}}, 1},
};

INSTANTIATE_TEST_SUITE_P(Events,
                         cache_event_test,
                         testing::ValuesIn(kEventCases),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against a gap of one upstream that drops what is known of another.
TEST(prefix_index_test, GapsConcernOneUpstream) {
  prefix_index index(64);
  const std::vector<std::uint64_t> prompt{1, 2};
  index.Apply({.upstream = kOne, .sequence = 1, .blocks = prompt});
  index.Apply({.upstream = kTwo, .sequence = 1, .blocks = prompt});
  index.Apply({.upstream = kOne, .sequence = 9});
  const prefix_hits hits = index.Find(prompt);
  ASSERT_EQ(hits.count, 1U);
  EXPECT_EQ(hits.hit[0], (prefix_hit{kTwo, 2}));
  EXPECT_EQ(index.invalidations(), 1U);
}

// Guards against a shorter match that hides a longer one.
TEST(prefix_index_test, LongestPartComesFirst) {
  prefix_index index(64);
  const std::vector<std::uint64_t> prompt{1, 2, 3, 4};
  index.NoteServed(kOne, std::span(prompt).first(2));
  index.NoteServed(kTwo, prompt);
  const prefix_hits hits = index.Find(prompt);
  ASSERT_EQ(hits.count, 2U);
  EXPECT_EQ(hits.hit[0], (prefix_hit{kTwo, 4}));
  EXPECT_EQ(hits.hit[1], (prefix_hit{kOne, 2}));
}

// Guards against own knowledge that a lost event erases, and against its survival of a restart.
TEST(prefix_index_test, OwnNotesSurviveGapsButNotRestarts) {
  prefix_index index(64);
  const std::vector<std::uint64_t> prompt{1, 2};
  index.Apply({.upstream = kOne, .boot = 1, .sequence = 1});
  index.NoteServed(kOne, prompt);
  index.Apply({.upstream = kOne, .boot = 1, .sequence = 9});
  EXPECT_EQ(index.Find(prompt).count, 1U);
  index.Apply({.upstream = kOne, .boot = 1, .sequence = 10, .kind = kEvicted, .blocks = prompt});
  EXPECT_EQ(index.Find(prompt).count, 0U);
  index.NoteServed(kOne, prompt);
  index.Apply({.upstream = kOne, .boot = 2, .sequence = 1});
  EXPECT_EQ(index.Find(prompt).count, 0U);
}

// Guards against blocks of a forgotten upstream that are reported again after its return or for
// another upstream that takes its place in the index.
TEST(prefix_index_test, ForgottenBlocksStayForgotten) {
  prefix_index index(64);
  const std::vector<std::uint64_t> prompt{1, 2};
  index.NoteServed(kOne, prompt);
  index.Apply({.upstream = kOne, .sequence = 1, .blocks = prompt});
  index.Forget(kOne);
  index.Forget(kOne);
  EXPECT_EQ(index.Find(prompt).count, 0U);
  index.NoteServed(kTwo, std::span(prompt).first(1));
  index.NoteServed(kOne, {});
  const prefix_hits hits = index.Find(prompt);
  ASSERT_EQ(hits.count, 1U);
  EXPECT_EQ(hits.hit[0], (prefix_hit{kTwo, 1}));
}

// Guards against epochs that wrap and make old blocks valid again.
TEST(prefix_index_test, OldBlocksStayInvalidWhenEpochsWrap) {
  prefix_index index(64);
  const std::vector<std::uint64_t> prompt{1};
  index.Apply({.upstream = kOne, .sequence = 1, .blocks = prompt});
  for (std::uint64_t gap = 1; gap <= 70'000; ++gap) {
    index.Apply({.upstream = kOne, .sequence = 2 * gap + 1});
    ASSERT_EQ(index.Find(prompt).count, 0U) << gap;
  }
}

// Guards against memory that grows with the number of blocks or holders.
TEST(prefix_index_test, MemoryIsBoundedAndNewBlocksWin) {
  prefix_index index(1024);
  const std::size_t bytes = index.table_bytes();
  random_source random(5);
  std::vector<std::uint64_t> last;
  for (int i = 0; i < 100'000; ++i) {
    last = {random.Next()};
    index.NoteServed({1 + random.Below(50)}, last);
  }
  EXPECT_EQ(index.table_bytes(), bytes);
  EXPECT_EQ(index.Find(last).count, 1U);
}

// Guards against results beyond the fixed size when many upstreams hold a template.
TEST(prefix_index_test, KeepsTheLatestHolders) {
  prefix_index index(64);
  const std::vector<std::uint64_t> prompt{1};
  for (std::uint64_t i = 1; i <= 10; ++i)
    index.NoteServed({i}, prompt);
  const prefix_hits hits = index.Find(prompt);
  ASSERT_EQ(hits.count, prefix_index::kHolders);
  EXPECT_EQ(hits.hit[0].upstream, upstream_key{10});
}

struct prompt_case {
  std::string_view name;
  std::size_t bytes;
  std::uint32_t blocks;
};

class prefix_hashes_test : public testing::TestWithParam<prompt_case> {};

// Guards against keys that change while a block is still being filled.
TEST_P(prefix_hashes_test, CountsWholeBlocks) {
  const std::string prompt(GetParam().bytes, 'x');
  EXPECT_EQ(PrefixHashes("menus", prompt).count, GetParam().blocks);
}

INSTANTIATE_TEST_SUITE_P(
    Lengths,
    prefix_hashes_test,
    testing::Values(prompt_case{"Empty", 0, 0},
                    prompt_case{"Short", 10, 1},
                    prompt_case{"OneBlock", kPrefixBlockBytes, 1},
                    prompt_case{"PartOfTheSecond", 2 * kPrefixBlockBytes - 1, 1},
                    prompt_case{"TwoBlocks", 2 * kPrefixBlockBytes, 2},
                    prompt_case{"Longest", 1000 * kPrefixBlockBytes, kMaxPrefixBlocks}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against hashes that match although the text differs before them, or between workspaces.
TEST(prefix_hashes_test, ChainCoversAllTextBefore) {
  std::string a(3 * kPrefixBlockBytes, 'x');
  std::string b = a;
  b[kPrefixBlockBytes + 5] = 'y';
  const prefix_hashes ha = PrefixHashes("menus", a);
  const prefix_hashes hb = PrefixHashes("menus", b);
  EXPECT_EQ(ha.hash[0], hb.hash[0]);
  EXPECT_NE(ha.hash[1], hb.hash[1]);
  EXPECT_NE(ha.hash[2], hb.hash[2]);
  EXPECT_NE(ha.hash[0], PrefixHashes("quotes", a).hash[0]);
}

}  // namespace
}  // namespace quincebank
