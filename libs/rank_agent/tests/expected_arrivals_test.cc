#include "quincebank/rank_agent/expected_arrivals.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

const time_point kNow{seconds(100)};

struct query_case {
  const char* name;
  int queries;
  milliseconds interval;  ///< Between two queries.
  int load;               ///< Load that the engine reports.
  int limit;              ///< Load at which the engine is full.
  int max_senders;        ///< Most entries that may see a free slot.
};

class expected_arrivals_test : public testing::TestWithParam<query_case> {};

// Guards against a burst in which all entries that query the load at the same moment see the same
// free slot and send a request to it.
TEST_P(expected_arrivals_test, LimitsTheSendersPerFreeSlot) {
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

// Guards against slots that stay reserved for entries that have sent their request elsewhere.
TEST(expected_arrivals, RepliesExpire) {
  expected_arrivals arrivals;
  for (int i = 0; i < 8; ++i)
    arrivals.OnLoadReply(kNow);
  EXPECT_EQ(arrivals.ExpectedCount(kNow), 4);
  EXPECT_EQ(arrivals.ExpectedCount(kNow + milliseconds(100)), 0);
}

}  // namespace
}  // namespace quincebank
