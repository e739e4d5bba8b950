#include "quincebank/routing/choose.h"

#include <gtest/gtest.h>

#include <ostream>

#include "quincebank/base/random.h"
#include "routing_fixture.h"

namespace quincebank {
namespace {

/// One restriction on the choice and what it must lead to.
struct restriction {
  std::string_view name;
  void (*apply)(routing_fixture& fixture);
  std::string_view decided;  ///< Id of the upstream, or wire form of the error.
  std::string_view message;  ///< Part of the error's message.
};

void PrintTo(const restriction& one, std::ostream* out) {
  *out << one.name;
}

void SetAll(routing_fixture& fixture, const upstream_load& load) {
  for (upstream_load& one : fixture.loads)
    one = load;
}

class restriction_test : public testing::TestWithParam<restriction> {};

// Guards against a request at an upstream that must not or can't take it, and against a rejection
// that names the wrong reason.
TEST_P(restriction_test, IsObeyedForEverySeed) {
  routing_fixture fixture;
  fixture.Add(6);
  fixture.prefix = {1, 2, 3, 4, 5, 6, 7, 8};
  fixture.request.region = "east";
  GetParam().apply(fixture);
  fixture.Build();
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    fixture.request.seed = Mix64(seed);
    EXPECT_EQ(fixture.Decide(), GetParam().decided);
  }
  const auto decision = Choose(fixture.Input());
  if (decision.has_value())
    return;
  EXPECT_EQ(decision.error().outcome, verdict::kNotRun);
  EXPECT_NE(decision.error().message.find(GetParam().message), std::string::npos)
      << decision.error().message;
}

const restriction kRestrictions[] = {
    {"HedgeNeedsAWarmUpstreamInAnotherDomain",
     [](auto& f) {
       SetAll(f, {.limit = 8});
       f.request.hedge = true;
       f.tried = {KeyOf("u0")};
       f.loads[1].cold = true;
       f.loads[2].limit = 0;
       f.loads[4].in_flight = 8;
     },
     "u5", ""},
    {"HedgePrefersAnotherDomainToAnIdleUpstream",
     [](auto& f) {
       SetAll(f, {.limit = 8, .closed = true});
       f.request.hedge = true;
       f.tried = {KeyOf("u0")};
       f.loads[3] = {.limit = 8};
       f.loads[5] = {.in_flight = 4, .limit = 8};
     },
     "u5", ""},
    {"HedgeNeverWaits",
     [](auto& f) {
       SetAll(f, {.in_flight = 8, .limit = 8});
       f.request.hedge = true;
     },
     "overloaded", "6 full"},
    {"HedgeNeverGoesToAColdUpstream",
     [](auto& f) {
       SetAll(f, {.limit = 8, .cold = true});
       f.request.hedge = true;
     },
     "unavailable", "6 cold"},
    {"ModelVersion",
     [](auto& f) {
       f.upstreams[4].model_version = "m2";
       f.request.model_version = "m2";
     },
     "u4", ""},
    {"UnknownVersion", [](auto& f) { f.request.model_version = "m9"; }, "not-found",
     "no upstream serves model version 'm9'"},
    {"Adapter",
     [](auto& f) {
       f.upstreams[2].adapters = {"fr", "fr"};
       f.request.adapter = "fr";
     },
     "u2", ""},
    {"AdapterOfOtherVersion",
     [](auto& f) {
       f.upstreams[2].adapters = {"fr"};
       f.upstreams[2].model_version = "m2";
       f.request.model_version = "m1";
       f.request.adapter = "fr";
     },
     "not-found", "model version 'm1' with adapter 'fr'"},
    {"CacheHitOfOtherVersion",
     [](auto& f) {
       f.upstreams[4].model_version = "m2";
       f.request.model_version = "m2";
       f.hits.hit[0] = {KeyOf("u0"), 8};
       f.hits.count = 1;
     },
     "u4", ""},
    {"Drained",
     [](auto& f) {
       for (std::size_t i = 0; i < 5; ++i)
         f.upstreams[i].state = upstream_state::kDrained;
       f.hits.hit[0] = {KeyOf("u0"), 8};
       f.hits.count = 1;
     },
     "u5", ""},
    {"AllDrainedOrLeaving",
     [](auto& f) {
       for (upstream& one : f.upstreams)
         one.state = upstream_state::kDrained;
       f.upstreams[1].state = upstream_state::kLeaving;
     },
     "draining", "5 drained, 1 leaving"},
    {"AllSuspected",
     [](auto& f) {
       for (upstream& one : f.upstreams)
         one.state = upstream_state::kSuspected;
     },
     "unavailable", "6 suspected"},
    {"Closed",
     [](auto& f) {
       SetAll(f, {.limit = 8, .closed = true});
       f.loads[3].closed = false;
     },
     "u3", ""},
    {"AllClosed", [](auto& f) { SetAll(f, {.limit = 8, .closed = true}); }, "draining", "6 closed"},
    {"Tried",
     [](auto& f) {
       for (const char* const id : {"u0", "u1", "u2", "u4", "u5"})
         f.tried.push_back(KeyOf(id));
     },
     "u3", ""},
    {"AllTried",
     [](auto& f) {
       for (const upstream& one : f.upstreams)
         f.tried.push_back(KeyOf(one.id));
     },
     "unavailable", "6 tried"},
    {"ColdFull",
     [](auto& f) {
       SetAll(f, {.in_flight = 1, .queued = 1, .limit = 2, .cold = true});
       f.loads[1].queued = 0;
     },
     "u1", ""},
    {"ColdFullByOwnRequests",
     [](auto& f) { SetAll(f, {.limit = 2, .cold = true, .sent_since = 2}); }, "overloaded",
     "6 cold-full"},
    {"ColdFullByOldHint",
     [](auto& f) {
       SetAll(f, {.in_flight = 2, .limit = 2, .cold = true, .age = milliseconds(60'000)});
     },
     "overloaded", "6 cold-full"},
    {"AllFull", [](auto& f) { SetAll(f, {.in_flight = 40, .limit = 8}); }, "overloaded", "6 full"},
    {"NotFull",
     [](auto& f) {
       SetAll(f, {.in_flight = 40, .limit = 8});
       f.loads[2].in_flight = 8;
     },
     "u2", ""},
    {"Deadline",
     [](auto& f) {
       SetAll(f, {.in_flight = 8, .limit = 8});
       f.loads[5].in_flight = 0;
       f.request.deadline = milliseconds(300);
     },
     "u5", ""},
    {"NoneMeetsTheDeadline",
     [](auto& f) {
       SetAll(f, {.in_flight = 8, .limit = 8});
       f.request.deadline = milliseconds(300);
     },
     "timeout", "6 deadline"},
    {"EmptyTable", [](auto& f) { f.upstreams.clear(); }, "not-found", "no upstream serves"},
};

INSTANTIATE_TEST_SUITE_P(Restrictions,
                         restriction_test,
                         testing::ValuesIn(kRestrictions),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against rejections from hints that are too old to be believed, or that never came.
TEST(choose_test, OldAndMissingHintsRejectNothing) {
  routing_fixture fixture;
  fixture.Add(3);
  fixture.Build();
  SetAll(fixture, {.in_flight = 100, .limit = 8, .age = milliseconds(60'000)});
  fixture.request.deadline = milliseconds(1);
  EXPECT_TRUE(Choose(fixture.Input()).has_value());
  SetAll(fixture, {.sent_since = 100});
  EXPECT_TRUE(Choose(fixture.Input()).has_value());
  fixture.loads.clear();
  EXPECT_TRUE(Choose(fixture.Input()).has_value());
}

struct priority_case {
  int priority;
  std::uint32_t last_accepted;  ///< Highest load, with a limit of 10, that is not yet full.
};

class priority_test : public testing::TestWithParam<priority_case> {};

// Guards against low-priority work that fills the queues which urgent work needs.
TEST_P(priority_test, LimitsTheQueueItMayJoin) {
  routing_fixture fixture;
  fixture.Add(1);
  fixture.Build();
  fixture.request.priority = GetParam().priority;
  fixture.loads[0] = {.in_flight = GetParam().last_accepted, .limit = 10};
  EXPECT_EQ(fixture.Decide(), "u0");
  ++fixture.loads[0].in_flight;
  EXPECT_EQ(fixture.Decide(), "overloaded");
}

INSTANTIATE_TEST_SUITE_P(Priorities,
                         priority_test,
                         testing::Values(priority_case{0, 12},
                                         priority_case{4, 24},
                                         priority_case{9, 39},
                                         priority_case{-3, 12},
                                         priority_case{12, 39}));

struct preference {
  std::string_view name;
  void (*apply)(routing_fixture& fixture);
  std::string_view decided;
};

void PrintTo(const preference& one, std::ostream* out) {
  *out << one.name;
}

class preference_test : public testing::TestWithParam<preference> {};

// Guards against scores that weigh load, cache and distance in the wrong order.
TEST_P(preference_test, DecidesBetweenTwo) {
  routing_fixture fixture;
  fixture.Add(2);
  fixture.request.region = "east";
  GetParam().apply(fixture);
  fixture.Build();
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    fixture.request.seed = Mix64(seed);
    EXPECT_EQ(fixture.Decide(), GetParam().decided);
  }
}

const preference kPreferences[] = {
    {"LowerLoad", [](auto& f) { f.loads[0].in_flight = 3; }, "u1"},
    {"OwnRequestsCount", [](auto& f) { f.loads[1].sent_since = 1; }, "u0"},
    {"OwnFailureDomain", [](auto& f) { f.request.failure_domain = "east-b"; }, "u1"},
    {"LoadBeforeFailureDomain",
     [](auto& f) {
       f.request.failure_domain = "east-b";
       f.loads[1].in_flight = 2;
     },
     "u0"},
    {"OwnRegion", [](auto& f) { f.upstreams[0].region = "west"; }, "u1"},
    {"OtherRegionWhenTheOwnQueues",
     [](auto& f) {
       f.upstreams[0].region = "west";
       f.loads[1].in_flight = 9;
     },
     "u0"},
    {"CacheBeforeSmallLoad",
     [](auto& f) {
       f.prefix = {1, 2, 3, 4, 5, 6, 7, 8};
       f.hits.hit[0] = {KeyOf("u1"), 8};
       f.hits.count = 1;
       f.loads[1].in_flight = 1;
     },
     "u1"},
    {"QueueBeforeCache",
     [](auto& f) {
       f.prefix = {1, 2, 3, 4, 5, 6, 7, 8};
       f.hits.hit[0] = {KeyOf("u1"), 8};
       f.hits.count = 1;
       f.loads[1].in_flight = 12;
     },
     "u0"},
    {"OneSuspectedHostDoesNotPenaliseItsDomain",
     [](auto& f) {
       f.Add(1);
       f.upstreams[2].failure_domain = "east-a";
       f.upstreams[2].state = upstream_state::kSuspected;
       f.loads[1].in_flight = 1;
     },
     "u0"},
    {"SeveralSuspectedHostsPenaliseTheirDomain",
     [](auto& f) {
       f.Add(2);
       for (std::size_t i = 2; i < 4; ++i) {
         f.upstreams[i].failure_domain = "east-a";
         f.upstreams[i].state = upstream_state::kSuspected;
       }
       f.loads[1].in_flight = 7;
     },
     "u1"},
    {"UnnamedDomainsShareNothing",
     [](auto& f) {
       f.Add(2);
       for (upstream& one : f.upstreams)
         one.failure_domain.clear();
       f.upstreams[2].state = f.upstreams[3].state = upstream_state::kSuspected;
       f.tried = {KeyOf("u2")};
       f.loads[1].in_flight = 1;
     },
     "u0"},
    {"RetryInAnotherFailureDomain",
     [](auto& f) {
       f.Add(2);  // u2 in east-c, u3 in east-a like u0.
       f.upstreams[1].failure_domain = "east-a";
       f.tried = {KeyOf("u0")};
       f.loads[2].in_flight = 7;
     },
     "u2"},
};

INSTANTIATE_TEST_SUITE_P(Preferences,
                         preference_test,
                         testing::ValuesIn(kPreferences),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against an upstream that every sample misses while all others are excluded.
TEST(choose_test, FindsTheOnlyUpstreamWithRoomAmongMany) {
  routing_fixture fixture;
  fixture.Add(620);
  fixture.Build();
  fixture.prefix = {1, 2, 3};
  SetAll(fixture, {.in_flight = 40, .limit = 8});
  fixture.loads[417].in_flight = 0;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    fixture.request.seed = Mix64(seed);
    EXPECT_EQ(fixture.Decide(), "u417");
  }
}

// Guards against decisions that can't be explained: the chosen one must be among the candidates,
// and no usable candidate may have a lower score.
TEST(choose_test, ChosenUpstreamIsTheBestCandidate) {
  routing_fixture fixture;
  fixture.Add(40);
  fixture.Build();
  random_source random(3);
  for (int i = 0; i < 200; ++i) {
    fixture.prefix = {random.Next(), random.Next(), random.Next(), random.Next()};
    fixture.request.seed = random.Next();
    for (upstream_load& load : fixture.loads)
      load.in_flight = static_cast<std::uint32_t>(random.Below(14));
    const auto decision = Choose(fixture.Input());
    ASSERT_TRUE(decision.has_value());
    const route_candidate* chosen = nullptr;
    for (const route_candidate& one : decision.value().candidates()) {
      if (one.index == decision.value().index)
        chosen = &one;
    }
    ASSERT_NE(chosen, nullptr);
    for (const route_candidate& one : decision.value().candidates()) {
      if (one.excluded != exclusion::kNone)
        continue;
      EXPECT_GE(one.score, chosen->score);
    }
  }
}

}  // namespace
}  // namespace quincebank
