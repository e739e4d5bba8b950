#include "quincebank/routing/replay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>

#include "routing_fixture.h"

namespace quincebank {
namespace {

/// A decision that reads every member of the input.
routing_fixture FullFixture() {
  routing_fixture fixture;
  fixture.Add(20, "east", "m1");
  fixture.Add(10, "west", "m1");
  fixture.Add(5, "east", "m2");
  for (upstream& one : fixture.upstreams)
    one.adapters = {"fr", "en"};
  fixture.upstreams[3].state = upstream_state::kDrained;
  fixture.upstreams[4].weight = 250;
  for (std::size_t i = 0; i < fixture.loads.size(); ++i) {
    fixture.loads[i] = {.in_flight = static_cast<std::uint32_t>(i % 7),
                        .queued = static_cast<std::uint32_t>(i % 3),
                        .limit = static_cast<std::uint32_t>(i % 5 == 0 ? 0 : 6),
                        .cold = i % 11 == 0,
                        .closed = i % 13 == 0,
                        .age = milliseconds(i * 90),
                        .sent_since = static_cast<std::uint32_t>(i % 4)};
  }
  fixture.Build();
  fixture.prefix = {0xfedcba9876543210ULL, 2, 3, 4, 5, 6, 7, 0xffffffffffffffffULL};
  fixture.tried = {KeyOf("u1"), KeyOf("u7")};
  fixture.hits.hit[0] = {KeyOf("u2"), 5};
  fixture.hits.hit[1] = {KeyOf("u9"), 2};
  fixture.hits.count = 2;
  fixture.request = {.workspace = "menus",
                     .priority = 7,
                     .deadline = milliseconds(900),
                     .model_version = "m1",
                     .adapter = "fr",
                     .failure_domain = "east-b",
                     .region = "east",
                     .seed = 0xdeadbeefdeadbeefULL,
                     .turn = 41};
  fixture.settings.block_prefill = route_settings::microseconds(17'000);
  return fixture;
}

/// Sends a record through its text form, as an operator's collector does.
decision_record ThroughText(const decision_record& record) {
  return RecordFromJson(boost::json::parse(boost::json::serialize(ToJson(record))).as_object());
}

class replay_test : public testing::TestWithParam<std::string_view> {};

// Guards against a decision input that the record leaves out or changes.
TEST_P(replay_test, RecordAloneGivesTheSameDecision) {
  routing_fixture fixture = FullFixture();
  for (std::uint64_t seed = 1; seed < 50; ++seed) {
    fixture.request.seed = seed * 0x9e3779b97f4a7c15ULL;
    const route_policy& policy = *FindRoutePolicy(GetParam());
    const route_input input = fixture.Input();
    const auto record = MakeRouteRecord("r1", {}, policy, input, Choose(policy, input));
    const auto replay = Replay(ThroughText(record));
    ASSERT_TRUE(replay.has_value()) << Describe(replay.error());
    EXPECT_TRUE(replay.value().same) << boost::json::serialize(replay.value().outcome) << "\n"
                                     << boost::json::serialize(replay.value().recorded);
  }
}

// Guards against a comparison of policies on different inputs.
TEST_P(replay_test, OtherPolicyDecidesAsItWouldHave) {
  routing_fixture fixture = FullFixture();
  const route_input input = fixture.Input();
  const route_policy& used = *FindRoutePolicy("round-robin");
  const auto record = MakeRouteRecord("r1", {}, used, input, Choose(used, input));
  const auto replay = Replay(ThroughText(record), GetParam());
  ASSERT_TRUE(replay.has_value()) << Describe(replay.error());
  EXPECT_EQ(replay.value().policy, GetParam());
  EXPECT_EQ(replay.value().outcome,
            OutcomeToJson(input, Choose(*FindRoutePolicy(GetParam()), input)));
}

// Guards against rejections that can't be explained afterwards.
TEST_P(replay_test, ErrorsAreReplayedToo) {
  routing_fixture fixture = FullFixture();
  fixture.request.adapter = "pa";
  const route_policy& policy = *FindRoutePolicy(GetParam());
  const route_input input = fixture.Input();
  const auto record = MakeRouteRecord("r1", {}, policy, input, Choose(policy, input));
  EXPECT_EQ(record.outcome.at("error").as_string(), "not-found");
  const auto replay = Replay(ThroughText(record));
  ASSERT_TRUE(replay.has_value());
  EXPECT_TRUE(replay.value().same);
}

INSTANTIATE_TEST_SUITE_P(Policies,
                         replay_test,
                         testing::Values("quincebank", "round-robin", "least-loaded", "two-random"),
                         [](const auto& info) {
                           std::string name(info.param);
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

struct damage {
  std::string_view name;
  std::string_view path;  ///< Path that the error must name.
  void (*apply)(boost::json::object& input);
};

void PrintTo(const damage& one, std::ostream* out) {
  *out << one.name;
}

class damaged_record_test : public testing::TestWithParam<damage> {};

// Guards against a damaged record that replays as another decision instead of failing.
TEST_P(damaged_record_test, ErrorNamesThePath) {
  routing_fixture fixture = FullFixture();
  const route_input input = fixture.Input();
  const route_policy& policy = *FindRoutePolicy(kDefaultRoutePolicy);
  decision_record record = MakeRouteRecord("r1", {}, policy, input, Choose(policy, input));
  GetParam().apply(record.input);
  const auto replay = Replay(record);
  ASSERT_FALSE(replay.has_value());
  EXPECT_EQ(replay.error().path, GetParam().path);
}

INSTANTIATE_TEST_SUITE_P(
    Damages,
    damaged_record_test,
    testing::Values(
        damage{"UnknownPolicy", "/policy", [](auto& input) { input["policy"] = "best"; }},
        damage{"NoTable", "/table", [](auto& input) { input.erase("table"); }},
        damage{"ShortColumn", "/loads/in_flight",
               [](auto& input) { input["loads"].as_object()["in_flight"] = "1,2"; }},
        damage{"HugeRun", "/table/weight",
               [](auto& input) { input["table"].as_object()["weight"] = "100*99999999999"; }},
        damage{"WrongSeed", "/seed", [](auto& input) { input["seed"] = "12,zz"; }},
        damage{"UnknownMember", "/colour", [](auto& input) { input["colour"] = "red"; }},
        damage{"WrongState", "/table/state",
               [](auto& input) { input["table"].as_object()["state"] = "9*35"; }},
        damage{"RepeatedId", "/table/upstreams/1/id",
               [](auto& input) {
                 auto& ids = input["table"].as_object()["ids"].as_string();
                 ids.replace(ids.find("u0\n"), 2, "u1");
               }}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
