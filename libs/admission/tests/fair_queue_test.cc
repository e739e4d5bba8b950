#include "quincebank/admission/fair_queue.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <vector>

#include "quincebank/base/random.h"

namespace quincebank {
namespace {

class fair_queue_test : public testing::Test {
 protected:
  admission_entry& Push(std::uint64_t workspace,
                        std::uint32_t weight = 1,
                        std::uint8_t priority = 0) {
    return Push(queue_, {.workspace = workspace, .weight = weight, .priority = priority});
  }
  admission_entry& Push(fair_queue& queue, const admission_request& request) {
    admission_entry& entry = entries_.emplace_back();
    entry.index = static_cast<std::uint32_t>(entries_.size() - 1);
    workspaces_.push_back(request.workspace);
    queue.Push(entry, request);
    return entry;
  }
  /// Pops up to `count` entries and counts them by workspace.
  std::map<std::uint64_t, std::size_t> Serve(std::size_t count) {
    std::map<std::uint64_t, std::size_t> served;
    for (std::size_t i = 0; i < count; ++i) {
      const admission_entry* const entry = queue_.Pop();
      if (entry == nullptr)
        break;
      ++served[workspaces_.at(entry->index)];
    }
    return served;
  }

  std::deque<admission_entry> entries_;
  std::vector<std::uint64_t> workspaces_;
  fair_queue queue_{4096, 64};
};

// Guards against starvation of small workspaces by large ones.
TEST_F(fair_queue_test, SmallWorkspacesAreServedDespiteLargeOnes) {
  for (std::uint64_t large = 1; large <= 10; ++large) {
    for (int i = 0; i < 300; ++i)
      Push(large);
  }
  for (std::uint64_t small = 100; small < 120; ++small)
    Push(small);
  const auto served = Serve(31);
  for (std::uint64_t small = 100; small < 120; ++small)
    EXPECT_EQ(served.count(small), 1U) << small;
}

struct weight_case {
  const char* name;
  std::uint32_t first;
  std::uint32_t second;
  std::size_t expected_of_first;  ///< Of 120 served requests.
};

class weight_test : public fair_queue_test, public testing::WithParamInterface<weight_case> {};

// Guards against shares that are not proportional to the weights.
TEST_P(weight_test, SharesFollowTheWeights) {
  for (int i = 0; i < 200; ++i) {
    Push(1, GetParam().first);
    Push(2, GetParam().second);
  }
  const auto served = Serve(120);
  EXPECT_NEAR(static_cast<double>(served.at(1)), static_cast<double>(GetParam().expected_of_first),
              1.0);
}

INSTANTIATE_TEST_SUITE_P(Weights,
                         weight_test,
                         testing::Values(weight_case{"equal", 1, 1, 60},
                                         weight_case{"double", 2, 1, 80},
                                         weight_case{"one_to_three", 1, 3, 30},
                                         weight_case{"large_numbers", 5000, 1000, 100},
                                         weight_case{"zero_counts_as_one", 0, 1, 60}),
                         [](const auto& info) { return info.param.name; });

// Guards against a changed weight that is applied only to an empty queue: under constant load the
// queue of a workspace never empties.
TEST_F(fair_queue_test, AChangedWeightAppliesToABusyWorkspace) {
  for (int i = 0; i < 400; ++i) {
    Push(1, 1);
    Push(2, 1);
  }
  (void)Serve(100);
  Push(1, 3);
  const auto served = Serve(120);
  EXPECT_NEAR(static_cast<double>(served.at(1)), 90.0, 1.0);
}

// Guards against charging every request the same, so that workspaces with costly requests get more
// than their share.
TEST_F(fair_queue_test, SharesAreMeasuredInCost) {
  for (int i = 0; i < 200; ++i) {
    Push(queue_, {.workspace = 1, .cost = 3});
    Push(queue_, {.workspace = 2, .cost = 1});
  }
  const auto served = Serve(120);
  EXPECT_NEAR(static_cast<double>(served.at(1)), 30.0, 1.0);
}

// Guards against a priority that moves a request ahead of other workspaces, or that has no effect
// within its own.
TEST_F(fair_queue_test, PriorityCountsOnlyInsideTheWorkspace) {
  Push(1, 1, 0);
  Push(2, 1, 0);
  const admission_entry& urgent = Push(1, 1, 9);
  const admission_entry& later = Push(1, 1, 9);
  std::vector<const admission_entry*> order;
  while (const admission_entry* const entry = queue_.Pop())
    order.push_back(entry);
  ASSERT_EQ(order.size(), 4U);
  EXPECT_EQ(order[0], &urgent);
  EXPECT_EQ(workspaces_.at(order[1]->index), 2U);
  EXPECT_EQ(order[2], &later);
}

// Guards against a workspace that accumulates credit while idle and then starves the others.
TEST_F(fair_queue_test, IdleTimeGivesNoCredit) {
  for (int i = 0; i < 300; ++i)
    Push(1);
  (void)Serve(200);
  for (int i = 0; i < 100; ++i)
    Push(2);
  const auto served = Serve(60);
  EXPECT_NEAR(static_cast<double>(served.at(1)), 30.0, 1.0);
}

struct victim_case {
  const char* name;
  std::uint64_t workspace;
  std::uint32_t weight;
  std::uint8_t priority;
  std::uint64_t victim;  ///< 0: the request itself is rejected.
};

class victim_test : public fair_queue_test, public testing::WithParamInterface<victim_case> {};

// Guards against a large workspace that fills the queue and blocks all others. The queue holds ten
// requests of workspace 1 and two of workspace 2, all at priority 5.
TEST_P(victim_test, IsFromTheWorkspaceAboveItsShare) {
  for (int i = 0; i < 10; ++i)
    Push(1, 1, 5);
  Push(2, 1, 5);
  Push(2, 1, 5);
  const admission_entry* const victim = queue_.FindVictim({.workspace = GetParam().workspace,
                                                           .weight = GetParam().weight,
                                                           .priority = GetParam().priority});
  const std::uint64_t from = victim == nullptr ? 0 : workspaces_.at(victim->index);
  EXPECT_EQ(from, GetParam().victim);
  if (from == 1) {
    EXPECT_EQ(victim->index, 9U) << "the newest request of the lowest priority is displaced first";
  }
}

INSTANTIATE_TEST_SUITE_P(Requests,
                         victim_test,
                         testing::Values(victim_case{"new_workspace", 3, 1, 0, 1},
                                         victim_case{"small_workspace", 2, 1, 0, 1},
                                         victim_case{"largest_itself", 1, 1, 5, 0},
                                         victim_case{"largest_with_higher_priority", 1, 1, 6, 1},
                                         victim_case{"largest_with_lower_priority", 1, 1, 4, 0}),
                         [](const auto& info) { return info.param.name; });

// Guards against a queue that is shorter than the number of large workspaces and blocks all small
// ones. Each workspace has one queued request, but the large ones were served recently and the new
// one was not.
TEST_F(fair_queue_test, RecentUseCountsWhenAllHaveOneQueuedRequest) {
  for (std::uint64_t large = 1; large <= 4; ++large) {
    for (int i = 0; i < 3; ++i)
      Push(large);
  }
  (void)Serve(8);
  ASSERT_EQ(queue_.size(), 4U);
  EXPECT_NE(queue_.FindVictim({.workspace = 50, .priority = 0}), nullptr);
  EXPECT_EQ(queue_.FindVictim({.workspace = 1, .priority = 0}), nullptr);
  // A workspace that was served recently without queueing cannot displace others either.
  for (int i = 0; i < 9; ++i)
    queue_.Charge({.workspace = 60});
  EXPECT_EQ(queue_.FindVictim({.workspace = 60}), nullptr);
}

struct ahead_case {
  const char* name;
  std::uint64_t workspace;
  std::uint32_t weight;
  std::uint8_t priority;
  std::size_t served;  ///< Requests served before the estimate.
};

class ahead_test : public fair_queue_test, public testing::WithParamInterface<ahead_case> {};

// Guards against early rejections due to a wrong estimate, such as one that counts the whole queue
// as ahead of a small workspace. The queue holds 100 requests of workspace 1 and four of workspace
// 2, all at priority 5. The estimate is compared with the actual order of service.
TEST_P(ahead_test, EstimateMatchesTheOrderOfService) {
  for (int i = 0; i < 100; ++i)
    Push(1, 1, 5);
  for (int i = 0; i < 4; ++i)
    Push(2, 1, 5);
  (void)Serve(GetParam().served);
  const admission_request request{.workspace = GetParam().workspace,
                                  .weight = GetParam().weight,
                                  .priority = GetParam().priority};
  const std::size_t estimate = queue_.EstimateAhead(request);
  const admission_entry& offered = Push(queue_, request);
  std::size_t position = 0;
  while (queue_.Pop() != &offered)
    ++position;
  EXPECT_NEAR(static_cast<double>(estimate), static_cast<double>(position), 1.0);
}

INSTANTIATE_TEST_SUITE_P(Requests,
                         ahead_test,
                         testing::Values(ahead_case{"small", 2, 1, 5, 0},
                                         ahead_case{"small_later", 2, 1, 5, 3},
                                         ahead_case{"small_urgent", 2, 1, 6, 0},
                                         ahead_case{"large", 1, 1, 5, 0},
                                         ahead_case{"large_alone", 1, 1, 5, 20},
                                         ahead_case{"large_urgent", 1, 1, 9, 0},
                                         ahead_case{"new_workspace", 3, 1, 0, 0},
                                         ahead_case{"new_workspace_later", 3, 1, 0, 5},
                                         ahead_case{"new_heavy_workspace", 3, 10, 0, 1}),
                         [](const auto& info) { return info.param.name; });

// Guards against estimates that still count workspaces without queued requests, which would reject
// deadlines that can be met.
TEST_F(fair_queue_test, WorkspacesWithoutQueuedRequestsAreNotAhead) {
  for (std::uint64_t served = 10; served < 15; ++served)
    Push(served);
  (void)Serve(5);
  for (int i = 0; i < 5; ++i)
    Push(1);
  for (int i = 0; i < 50; ++i)
    Push(2);
  EXPECT_NEAR(static_cast<double>(queue_.EstimateAhead({.workspace = 1, .priority = 0})), 10.0,
              1.0);
}

class churn_test : public fair_queue_test, public testing::WithParamInterface<std::uint64_t> {};

// Guards against workspace state that is lost or leaked. Random operations, removals included, use
// more workspaces than the queue can remember.
TEST_P(churn_test, ServesEveryRequestOnceInBoundedMemory) {
  random_source random(GetParam());
  fair_queue queue(32, 8);
  std::vector<admission_entry> pool(32);
  std::vector<admission_entry*> unused;
  std::vector<admission_entry*> waiting;
  unused.reserve(pool.size());
  for (admission_entry& entry : pool)
    unused.push_back(&entry);
  const auto remove_waiting = [&](admission_entry* entry) {
    ASSERT_EQ(std::erase(waiting, entry), 1U);
    unused.push_back(entry);
  };
  for (int step = 0; step < 20'000; ++step) {
    const admission_request request{.workspace = random.Below(50'000),
                                    .weight = static_cast<std::uint32_t>(random.Below(5)),
                                    .priority = static_cast<std::uint8_t>(random.Below(12))};
    const std::uint64_t action = random.Below(8);
    if (action < 4 && !unused.empty()) {
      waiting.push_back(unused.back());
      unused.pop_back();
      queue.Push(*waiting.back(), request);
    } else if (action == 4) {
      queue.Charge(request);
    } else if (action == 5 && !waiting.empty()) {
      admission_entry* const entry = waiting[random.Below(waiting.size())];
      queue.Remove(*entry);
      remove_waiting(entry);
    } else if (admission_entry* const entry = queue.Pop(); entry != nullptr) {
      remove_waiting(entry);
    }
    ASSERT_EQ(queue.size(), waiting.size());
  }
  while (admission_entry* const entry = queue.Pop())
    remove_waiting(entry);
  EXPECT_TRUE(waiting.empty());
}

INSTANTIATE_TEST_SUITE_P(Seeds, churn_test, testing::Range<std::uint64_t>(1, 9));

}  // namespace
}  // namespace quincebank
