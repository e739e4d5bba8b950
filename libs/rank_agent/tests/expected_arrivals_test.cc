#include "quincebank/rank_agent/expected_arrivals.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

const time_point kNow{seconds(100)};

struct asker_case {
  const char* name;
  int askers;
  milliseconds between;  ///< Two of them.
  int load;              ///< Of the engine, as it reports.
  int limit;
  int most_senders;  ///< Entries that may see room.
};

class expected_arrivals_test : public testing::TestWithParam<asker_case> {};

// Guards against a burst in which all entries that ask in the same moment hear of the same free
// slot and send: each may take a place, but not all of them the same one.
TEST_P(expected_arrivals_test, LetsAFewTakeTheSameRoom) {
  const asker_case& given = GetParam();
  expected_arrivals arrivals;
  int senders = 0;
  for (int i = 0; i < given.askers; ++i) {
    const time_point now = kNow + i * given.between;
    senders += given.load + arrivals.Count(now) < given.limit ? 1 : 0;
    arrivals.OnAnswer(now);
  }
  EXPECT_GT(senders, 0);
  EXPECT_LE(senders, given.most_senders);
}

INSTANTIATE_TEST_SUITE_P(loads,
                         expected_arrivals_test,
                         testing::Values(asker_case{"one_place", 37, milliseconds(0), 10, 11, 2},
                                         asker_case{"two_places", 98, milliseconds(0), 9, 11, 4},
                                         asker_case{"rare_askers", 20, milliseconds(50), 10, 11,
                                                    20}),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against places that stay taken by entries that have sent elsewhere.
TEST(expected_arrivals, LapseAfterAMoment) {
  expected_arrivals arrivals;
  for (int i = 0; i < 8; ++i)
    arrivals.OnAnswer(kNow);
  EXPECT_EQ(arrivals.Count(kNow), 4);
  EXPECT_EQ(arrivals.Count(kNow + milliseconds(100)), 0);
}

}  // namespace
}  // namespace quincebank
