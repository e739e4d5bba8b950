#include "quincebank/expert_control/load_messages.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

TEST(load_messages, KeepTheirContent) {
  const load_subscription subscription{"i-1", milliseconds(200)};
  EXPECT_EQ(DecodeSubscription(Encode(subscription)).value(), subscription);
  const engine_load load{"i-1", 7, 2, 81'234};
  EXPECT_EQ(DecodeLoad(Encode(load)).value(), load);
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
                                         R"(["i-1",1,2,3,4])"));

}  // namespace
}  // namespace quincebank
