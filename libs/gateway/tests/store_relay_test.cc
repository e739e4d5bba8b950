#include "quincebank/gateway/store_relay.h"

#include <gtest/gtest.h>

#include <set>

namespace quincebank {
namespace {

using namespace std::chrono_literals;

std::vector<entry_record> Entries(int domains, int each) {
  std::vector<entry_record> entries;
  for (int i = 0; i < domains * each; ++i) {
    entry_record entry;
    entry.name = "entry-" + std::to_string(i);
    entry.failure_domain = "domain-" + std::to_string(i % domains);
    entries.push_back(entry);
  }
  return entries;
}

// Guards against calls to the store that grow with the fleet: 98 entries that all watch it make 98
// calls for each change.
TEST(store_relay, FewEntriesOfEachDomainReadTheStore) {
  const auto entries = Entries(5, 20);
  std::set<std::string> readers;
  for (int domain = 0; domain < 5; ++domain) {
    for (const std::string& reader : ReadersOf("domain-" + std::to_string(domain), entries))
      readers.insert(reader);
  }
  EXPECT_EQ(readers.size(), 10U);
}

TEST(store_relay, AnotherEntryTakesTheTurnOfOneThatIsGone) {
  auto entries = Entries(1, 8);
  const auto before = ReadersOf("domain-0", entries);
  ASSERT_EQ(before.size(), 2U);
  std::erase_if(entries, [&](const entry_record& entry) { return entry.name == before[0]; });
  const auto after = ReadersOf("domain-0", entries);
  ASSERT_EQ(after.size(), 2U);
  EXPECT_EQ(after[0], before[1]);
}

TEST(store_relay, NewsSurviveARoundTrip) {
  const store_news news{"edge-1", 812, 340ms};
  EXPECT_EQ(DecodeNews(Encode(news)).value(), news);
  for (const char* const bad :
       {"", "[]", "[1,2,3]", R"(["a",-1,0])", R"(["a",1,-1])", R"(["a",1.5,0])", R"({"a":1})"})
    EXPECT_FALSE(DecodeNews(bad)) << bad;
}

struct heard_news {
  milliseconds at;
  store_news news;
};

struct follow_case {
  const char* name;
  std::vector<heard_news> heard;
  milliseconds asked;
  bool in_touch;
  std::optional<std::string> newer;  ///< Than revision 10.
};

class reader_view_test : public testing::TestWithParam<follow_case> {};

// Guards against entries that go by an old view because the readers of their domain are gone,
// frozen, or turned away by the store.
TEST_P(reader_view_test, FollowsOnlyReadersThatAreInTouch) {
  const time_point start(1h);
  reader_view view;
  for (const heard_news& given : GetParam().heard)
    view.OnNews(given.news, start + given.at);
  EXPECT_EQ(view.InTouch(start + GetParam().asked), GetParam().in_touch);
  EXPECT_EQ(view.Newer(10, start + GetParam().asked), GetParam().newer);
}

INSTANTIATE_TEST_SUITE_P(
    news,
    reader_view_test,
    testing::Values(follow_case{"none", {}, 0ms, false, std::nullopt},
                    follow_case{"fresh", {{0ms, {"a", 10, 100ms}}}, 500ms, true, std::nullopt},
                    follow_case{"newer", {{0ms, {"a", 11, 100ms}}}, 500ms, true, "a"},
                    follow_case{"silent", {{0ms, {"a", 11, 100ms}}}, 1'300ms, false, std::nullopt},
                    follow_case{"turned_away",
                                {{0ms, {"a", 11, 100ms}},
                                 {1'000ms, {"a", 11, 1'100ms}},
                                 {2'000ms, {"a", 11, 2'100ms}}},
                                2'000ms,
                                false,
                                std::nullopt},
                    follow_case{"one_of_two_turned_away",
                                {{0ms, {"a", 15, 2'500ms}}, {0ms, {"b", 12, 0ms}}},
                                100ms,
                                true,
                                "b"},
                    follow_case{"newest_of_two",
                                {{0ms, {"a", 15, 0ms}}, {0ms, {"b", 12, 0ms}}},
                                100ms,
                                true,
                                "a"},
                    follow_case{"late_datagram",
                                {{0ms, {"a", 15, 0ms}}, {100ms, {"a", 12, 0ms}}},
                                200ms,
                                true,
                                "a"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(reader_view, LeavesAReaderThatDoesNotAnswer) {
  const time_point start(1h);
  reader_view view;
  view.OnNews({"a", 15, 0ms}, start);
  view.OnFailure("a");
  EXPECT_FALSE(view.InTouch(start));
}

}  // namespace
}  // namespace quincebank
