#include "quincebank/expert_control/load_messages.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

TEST(load_messages, KeepTheirContent) {
  const load_subscription subscription{"i-1", milliseconds(200)};
  EXPECT_EQ(DecodeSubscription(Encode(subscription)).value(), subscription);
  const engine_load load{"i-1", 7, 2, 81'234};
  EXPECT_EQ(DecodeLoad(Encode(load)).value(), load);
  const engine_load load_with_pace{"i-1", 7, 2, 81'234, 9'100, 850};
  EXPECT_EQ(DecodeLoad(Encode(load_with_pace)).value(), load_with_pace);
}

// Guards against agents and entries of different versions that can't read each other's loads.
TEST(load_messages, OtherVersionsAreReadable) {
  EXPECT_EQ(Encode(engine_load{"i-1", 7, 2, 3}), R"(["i-1",7,2,3])");
  const engine_load expected{"i-1", 7, 2, 3, 9'100, 850};
  EXPECT_EQ(DecodeLoad(R"(["i-1",7,2,3,9100,850])").value(), expected);
}

// Guards against entries and agents of different versions that do not understand each other.
TEST(load_messages, AcceptLoadsWithAndWithoutAdditions) {
  engine_load load{"i-1", 7, 2, 81'234};
  EXPECT_EQ(Encode(load), R"(["i-1",7,2,81234])");
  load.kv_used = 500;
  load.pace = 1'000;
  EXPECT_EQ(DecodeLoad(R"(["i-1",7,2,81234,500,1000])").value(), load);
  EXPECT_EQ(DecodeLoad(Encode(load)).value(), load);
  load.observations =
      observation_summary{1'765'055'446'000, {2, 0, 1, 0, 3}, milliseconds(40), 2'500};
  EXPECT_EQ(DecodeLoad(Encode(load)).value(), load);
  EXPECT_EQ(DecodeLoad(R"(["i-1",7,2,81234,500,1000,[1765055446000,2,0,1,0,3,40,2500]])").value(),
            load);
  load.incarnation = 1'765'055'446'000;
  EXPECT_EQ(DecodeLoad(Encode(load)).value(), load);
}

TEST(load_messages, KeepObservations) {
  const upstream_observation observed{"i-1", 1'765'055'446'000, observation_kind::kPaused, 900,
                                      milliseconds(20)};
  EXPECT_EQ(DecodeObservation(Encode(observed)).value(), observed);
  // An agent of an older version ignores it.
  EXPECT_FALSE(DecodeSubscription(Encode(observed)));
  EXPECT_FALSE(DecodeObservation(R"(["i-1",6,1,0,0])"));
  EXPECT_FALSE(DecodeObservation(R"(["i-1",0,1,-1,0])"));
  EXPECT_FALSE(DecodeObservation(R"(["i-1",0,1,0])"));
}

class unreadable_load_test : public testing::TestWithParam<const char*> {};

// Guards against torn or foreign datagrams that pass for the load of an idle engine.
TEST_P(unreadable_load_test, IsRefused) {
  EXPECT_FALSE(DecodeLoad(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(payloads,
                         unreadable_load_test,
                         testing::Values("",
                                         "[",
                                         "{}",
                                         "[1,2,3,4]",
                                         R"(["i-1",1,2])",
                                         R"(["i-1",1,-2,3])",
                                         R"(["i-1",1,"2",3])",
                                         R"(["i-1",1,2,3,[]])",
                                         R"(["i-1",1,2,3,[1,2,0,0,0,0,0,-1]])",
                                         R"(["i-1",1,2,3,[1,2,0,0,0,0,0,0],5])",
                                         R"(["i-1",1,2,3,4])",
                                         R"(["i-1",1,2,3,-4,5])",
                                         R"(["i-1",1,2,3,4,"5"])",
                                         R"(["i-1",2147483647,2147483647,3])",
                                         R"(["i-1",1,2,3,9223372036854775807,5])",
                                         R"(["i-1",1,2,3,4,2147483648])",
                                         R"(["i-1",1,2,3,[1,2,0,0,0,0,9223372036854775807,0]])",
                                         R"(["i-1",1,2,3,[1,2,0,0,0,0,0,9223372036854775807]])"));

// Guards against a period of a subscription that overflows the clock of an agent.
TEST(load_messages, RefuseALongPeriod) {
  EXPECT_TRUE(DecodeSubscription(R"(["i-1",60000])"));
  EXPECT_FALSE(DecodeSubscription(R"(["i-1",9223372036854775807])"));
}

}  // namespace
}  // namespace quincebank
