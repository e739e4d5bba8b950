#include "quincebank/placement/waiting_line.h"

#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

namespace quincebank {
namespace {

struct arrival {
  char name;
  line_request request;
};

struct line_case {
  const char* name;
  std::vector<arrival> arrivals;
  std::string served;  ///< Names in the order of their turns.
};

class waiting_line_test : public testing::TestWithParam<line_case> {};

// Guards against an overload in which the turn goes to whoever looks first: the most urgent
// requests, small workspaces and the oldest requests would wait by chance.
TEST_P(waiting_line_test, GivesTurnsByPriorityThenByShares) {
  waiting_line line(64);
  std::deque<waiting_line::place> places(GetParam().arrivals.size());
  for (std::size_t i = 0; i < places.size(); ++i)
    ASSERT_TRUE(line.Enter(places[i], GetParam().arrivals[i].request));
  std::string served;
  while (!line.empty()) {
    for (std::size_t i = 0; i < places.size(); ++i) {
      if (!places[i].waits || !line.IsFirst(places[i]))
        continue;
      line.Serve(places[i]);
      served.push_back(GetParam().arrivals[i].name);
    }
  }
  EXPECT_EQ(served, GetParam().served);
}

INSTANTIATE_TEST_SUITE_P(
    arrivals,
    waiting_line_test,
    testing::Values(line_case{"in_order", {{'a', {1}}, {'b', {1}}, {'c', {1}}}, "abc"},
                    line_case{"urgent_first", {{'a', {1, 2}}, {'b', {2, 1}}, {'c', {1, 0}}}, "cba"},
                    line_case{"flood_of_one_workspace",
                              {{'a', {1}}, {'b', {1}}, {'c', {1}}, {'d', {1}}, {'e', {2}}},
                              "aebcd"},
                    line_case{"large_requests_count_for_more",
                              {{'a', {1, 0, 4}},
                               {'b', {1, 0, 4}},
                               {'c', {2}},
                               {'d', {2}},
                               {'e', {2}},
                               {'f', {2}},
                               {'g', {2}}},
                              "acdefbg"}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a line that grows with the overload until no request in it can be in time.
TEST(waiting_line, IsBounded) {
  waiting_line line(2);
  waiting_line::place first;
  waiting_line::place second;
  waiting_line::place third;
  EXPECT_TRUE(line.Enter(first, {1}));
  EXPECT_TRUE(line.Enter(second, {2}));
  EXPECT_FALSE(line.Enter(third, {3}));
  line.Leave(first);
  EXPECT_TRUE(line.IsFirst(second));
  EXPECT_TRUE(line.Enter(third, {3}));
  line.Leave(second);
  line.Leave(third);
  EXPECT_TRUE(line.empty());
}

// Guards against a workspace that has just been served without waiting and gets the next turn too.
TEST(waiting_line, RemembersWhoWasServed) {
  waiting_line line(8);
  waiting_line::place often;
  waiting_line::place seldom;
  for (int i = 0; i < 5; ++i)
    line.Charge({1});
  ASSERT_TRUE(line.Enter(often, {1}));
  ASSERT_TRUE(line.Enter(seldom, {2}));
  EXPECT_TRUE(line.IsFirst(seldom));
  line.Leave(often);
  line.Leave(seldom);
}

}  // namespace
}  // namespace quincebank
