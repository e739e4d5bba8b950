#include "quincebank/rank_agent/expected_arrivals.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

const time_point kNow{seconds(100)};

struct query_case {
  const char* name;
  int queries;
  milliseconds interval;  ///< Two of them.
  int load;               ///< Of the engine, as it reports.
  int limit;
  int max_senders;  ///< Entries that may see room.
};

class expected_arrivals_test : public testing::TestWithParam<query_case> {};

// Guards against a burst in which all entries that ask in the same moment hear of the same free
// slot and send: each may take a place, but not all of them the same one.
TEST_P(expected_arrivals_test, LetsAFewTakeTheSameRoom) {
  const query_case& given = GetParam();
  expected_arrivals arrivals;
  int senders = 0;
  for (int i = 0; i < given.queries; ++i) {
    const time_point now = kNow + i * given.interval;
    senders += given.load + arrivals.ExpectedCount(now) < given.limit ? 1 : 0;
    arrivals.OnLoadReply(now);
  }
  EXPECT_GT(senders, 0);
  EXPECT_LE(senders, given.max_senders);
}

INSTANTIATE_TEST_SUITE_P(loads,
                         expected_arrivals_test,
                         testing::Values(query_case{"one_place", 37, milliseconds(0), 10, 11, 2},
                                         query_case{"two_places", 98, milliseconds(0), 9, 11, 4},
                                         query_case{"rare_askers", 20, milliseconds(50), 10, 11,
                                                    20}),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against places that stay taken by entries that have sent elsewhere.
TEST(expected_arrivals, LapseAfterAMoment) {
  expected_arrivals arrivals;
  for (int i = 0; i < 8; ++i)
    arrivals.OnLoadReply(kNow);
  EXPECT_EQ(arrivals.ExpectedCount(kNow), 4);
  EXPECT_EQ(arrivals.ExpectedCount(kNow + milliseconds(100)), 0);
}

}  // namespace
}  // namespace quincebank
