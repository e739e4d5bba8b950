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
  EXPECT_EQ(DecodeLoad(R"(["i-1",7,2,3,9100,850,[1,"x"]])").value(), expected);
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
                                         R"(["i-1",1,2,3,4])",
                                         R"(["i-1",1,2,3,-4,5])",
                                         R"(["i-1",1,2,3,4,"5"])"));

}  // namespace
}  // namespace quincebank
