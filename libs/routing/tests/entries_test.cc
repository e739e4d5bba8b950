#include "quincebank/routing/entries.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <set>

#include "quincebank/base/random.h"

namespace quincebank {
namespace {

std::vector<entry_address> Entries(std::size_t count) {
  std::vector<entry_address> entries;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string number = std::to_string(i);
    entries.push_back({.address = "10.0.0." + number,
                       .port = 8080,
                       .host = "entry-" + number,
                       .failure_domain = std::string(1, static_cast<char>('a' + i % 3))});
  }
  return entries;
}

struct list_case {
  std::string_view name;
  std::size_t entries;
  std::string_view domain;
  std::size_t limit;
  std::size_t listed;
  std::size_t near;  ///< Entries of the caller's failure domain at the front of the list.
};

void PrintTo(const list_case& one, std::ostream* out) {
  *out << one.name;
}

class list_test : public testing::TestWithParam<list_case> {};

// Guards against lists that grow with the fleet, and against lists with which a caller can't get
// out of a lost failure domain.
TEST_P(list_test, IsBoundedAndMixed) {
  const auto entries = Entries(GetParam().entries);
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    const auto list = OrderEntries(entries, GetParam().domain, Mix64(seed), GetParam().limit);
    ASSERT_EQ(list.size(), GetParam().listed);
    std::set<std::string> hosts;
    for (std::size_t i = 0; i < list.size(); ++i) {
      hosts.insert(list[i].host);
      EXPECT_EQ(list[i].failure_domain == GetParam().domain, i < GetParam().near);
    }
    EXPECT_EQ(hosts.size(), list.size());
  }
}

INSTANTIATE_TEST_SUITE_P(Lists,
                         list_test,
                         testing::Values(list_case{"None", 0, "a", 8, 0, 0},
                                         list_case{"Few", 7, "a", 8, 7, 3},
                                         list_case{"Many", 400, "b", 8, 8, 6},
                                         list_case{"ShortList", 400, "b", 2, 2, 1},
                                         list_case{"OneAddress", 400, "b", 1, 1, 1},
                                         list_case{"NoLimit", 400, "b", 0, 0, 0},
                                         list_case{"ForeignCaller", 400, "z", 8, 8, 0},
                                         list_case{"UnknownCaller", 6, "", 8, 6, 0}),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against callers that keep coming to an entry that is about to go away.
TEST(entries_test, DrainingEntriesAreNotListed) {
  auto entries = Entries(6);
  entries[0].draining = entries[3].draining = true;
  const auto list = OrderEntries(entries, "a", 1);
  ASSERT_EQ(list.size(), 4U);
  EXPECT_TRUE(std::none_of(list.begin(), list.end(),
                           [](const entry_address& one) { return one.draining; }));
}

// Guards against callers that all connect to the same entry.
TEST(entries_test, FirstAddressIsSpreadEvenly) {
  const auto entries = Entries(24);
  std::map<std::string, int> first;
  for (std::uint64_t seed = 0; seed < 8000; ++seed)
    ++first[OrderEntries(entries, "a", Mix64(seed)).front().host];
  ASSERT_EQ(first.size(), 8U);
  // Mean 1000, standard deviation 30; five deviations either way.
  for (const auto& [host, count] : first)
    EXPECT_NEAR(count, 1000, 150) << host;
}

}  // namespace
}  // namespace quincebank
