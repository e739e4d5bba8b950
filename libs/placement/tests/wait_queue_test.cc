#include "quincebank/placement/wait_queue.h"

#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

namespace quincebank {
namespace {

struct arrival {
  char name;
  wait_queue_request request;
};

struct order_case {
  const char* name;
  std::vector<arrival> arrivals;
  std::string served;  ///< Names in the order in which they are served.
};

class wait_queue_test : public testing::TestWithParam<order_case> {};

// Guards against an overload in which free capacity goes to whichever request checks first,
// regardless of priority, fair share and age.
TEST_P(wait_queue_test, ServesByPriorityThenByFairShare) {
  wait_queue queue(64);
  std::deque<wait_queue::waiter> waiters(GetParam().arrivals.size());
  for (std::size_t i = 0; i < waiters.size(); ++i)
    ASSERT_TRUE(queue.TryEnqueue(waiters[i], GetParam().arrivals[i].request));
  std::string served;
  while (!queue.empty()) {
    for (std::size_t i = 0; i < waiters.size(); ++i) {
      if (!waiters[i].queued || !queue.IsFirst(waiters[i]))
        continue;
      queue.Dequeue(waiters[i]);
      served.push_back(GetParam().arrivals[i].name);
    }
  }
  EXPECT_EQ(served, GetParam().served);
}

INSTANTIATE_TEST_SUITE_P(
    arrivals,
    wait_queue_test,
    testing::Values(
        order_case{"in_order", {{'a', {1}}, {'b', {1}}, {'c', {1}}}, "abc"},
        order_case{"urgent_first", {{'a', {1, 2}}, {'b', {2, 1}}, {'c', {1, 0}}}, "cba"},
        order_case{"flood_of_one_workspace",
                   {{'a', {1}}, {'b', {1}}, {'c', {1}}, {'d', {1}}, {'e', {2}}},
                   "aebcd"},
        order_case{"large_requests_count_for_more",
                   {{'a', {1, 0, 4}},
                    {'b', {1, 0, 4}},
                    {'c', {2}},
                    {'d', {2}},
                    {'e', {2}},
                    {'f', {2}},
                    {'g', {2}}},
                   "acdefbg"}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a queue that grows in an overload until no request in it can be served in time.
TEST(wait_queue, IsBounded) {
  wait_queue queue(2);
  wait_queue::waiter first;
  wait_queue::waiter second;
  wait_queue::waiter third;
  EXPECT_TRUE(queue.TryEnqueue(first, {1}));
  EXPECT_TRUE(queue.TryEnqueue(second, {2}));
  EXPECT_FALSE(queue.TryEnqueue(third, {3}));
  queue.Remove(first);
  EXPECT_TRUE(queue.IsFirst(second));
  EXPECT_TRUE(queue.TryEnqueue(third, {3}));
  queue.Remove(second);
  queue.Remove(third);
  EXPECT_TRUE(queue.empty());
}

// Guards against a workspace that is served first although it has just been served without waiting.
TEST(wait_queue, CountsRequestsServedWithoutWaiting) {
  wait_queue queue(8);
  wait_queue::waiter frequent;
  wait_queue::waiter infrequent;
  for (int i = 0; i < 5; ++i)
    queue.Charge({1});
  ASSERT_TRUE(queue.TryEnqueue(frequent, {1}));
  ASSERT_TRUE(queue.TryEnqueue(infrequent, {2}));
  EXPECT_TRUE(queue.IsFirst(infrequent));
  queue.Remove(frequent);
  queue.Remove(infrequent);
}

}  // namespace
}  // namespace quincebank
