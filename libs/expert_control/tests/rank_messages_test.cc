#include "quincebank/expert_control/rank_messages.h"

#include <gtest/gtest.h>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

rank_report WholeReport() {
  rank_report report;
  report.incarnation = 1'773'388'486'720;
  report.group = "g0-1";
  report.epoch = 3;
  report.rank = 7;
  report.open = true;
  report.step = 812;
  report.map = 4;
  report.prepared = 5;
  report.armed = armed_map{5, 820};
  report.held = 820;
  report.orders = 9;
  return report;
}

// Guards against a field that is lost between agent and coordinator, which would hide a held pass.
TEST(rank_messages, ReportsSurviveARoundTrip) {
  rank_report bare;
  bare.group = "g0-0";
  for (const rank_report& report : {WholeReport(), bare}) {
    const auto read = RankReportFromJson(ToJson(report));
    ASSERT_TRUE(read) << Describe(read.error());
    EXPECT_EQ(read.value(), report);
  }
}

TEST(rank_messages, CountsAndExpertsSurviveARoundTrip) {
  const pick_counts counts{2, {5120, 88, 940}};
  const auto read = PickCountsFromJson(ToJson(counts));
  ASSERT_TRUE(read);
  EXPECT_EQ(read.value(), counts);
  const held_experts held{2, 4, {{0, 8, 16}, {1}}};
  const auto experts = HeldExpertsFromJson(ToJson(held));
  ASSERT_TRUE(experts);
  EXPECT_EQ(experts.value(), held);
}

class order_message_test : public testing::TestWithParam<order_kind> {};

// Guards against an order that an agent passes on with another kind, epoch or count.
TEST_P(order_message_test, OrdersSurviveARoundTrip) {
  const std::vector<rank_experts> map{{{0, 1}, {2}}, {{1}, {0, 2}}};
  const engine_order order{GetParam(), 4, 820, 3, 9, &map};
  const auto read = OrderFromJson(ToJson(order));
  ASSERT_TRUE(read) << Describe(read.error());
  EXPECT_EQ(read.value().order.kind, order.kind);
  EXPECT_EQ(read.value().order.version, order.version);
  EXPECT_EQ(read.value().order.step, order.step);
  EXPECT_EQ(read.value().order.epoch, order.epoch);
  EXPECT_EQ(read.value().order.expected_orders, order.expected_orders);
  EXPECT_EQ(read.value().map, map);
}

INSTANTIATE_TEST_SUITE_P(kinds,
                         order_message_test,
                         testing::Values(order_kind::kPrepare,
                                         order_kind::kArm,
                                         order_kind::kDisarm,
                                         order_kind::kHold,
                                         order_kind::kRelease),
                         [](const auto& info) { return std::string(ToString(info.param)); });

struct bad_message {
  const char* name;
  const char* text;
};

class bad_order_test : public testing::TestWithParam<bad_message> {};

TEST_P(bad_order_test, IsRefused) {
  const auto document = ParseJson(GetParam().text);
  ASSERT_TRUE(document);
  EXPECT_FALSE(OrderFromJson(document.value().as_object()));
}

INSTANTIATE_TEST_SUITE_P(
    messages,
    bad_order_test,
    testing::Values(
        bad_message{"empty", "{}"},
        bad_message{"unknown_kind",
                    R"({"kind":"x","version":1,"step":1,"epoch":1,"expected_orders":0})"},
        bad_message{"no_epoch", R"({"kind":"arm","version":1,"step":1,"expected_orders":0})"},
        bad_message{"bad_map",
                    R"({"kind":"prepare","version":1,"step":0,"epoch":1,"expected_orders":0,)"
                    R"("map":[[["a"]]]})"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
