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
  report.kv_used = 9'100;
  report.pace = 850;
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

TEST(rank_messages, ExpertsSurviveARoundTrip) {
  const held_experts held{2, 4, {{0, 8, 16}, {1}}};
  const auto experts = HeldExpertsFromJson(ToJson(held));
  ASSERT_TRUE(experts);
  EXPECT_EQ(experts.value(), held);
}

struct bad_message {
  const char* name;
  const char* text;
};

class bad_report_test : public testing::TestWithParam<bad_message> {};

// Guards against a report that lacks the count of orders, which would let late orders pass.
TEST_P(bad_report_test, IsRefused) {
  const auto document = ParseJson(GetParam().text);
  ASSERT_TRUE(document);
  EXPECT_FALSE(RankReportFromJson(document.value()));
}

INSTANTIATE_TEST_SUITE_P(
    messages,
    bad_report_test,
    testing::Values(
        bad_message{"empty", "{}"},
        bad_message{"no_orders",
                    R"({"incarnation":1,"group":"g","epoch":1,"rank":0,"step":1,"map":0})"},
        bad_message{"no_epoch",
                    R"({"incarnation":1,"group":"g","rank":0,"step":1,"map":0,"orders":0})"},
        bad_message{"text_as_step",
                    R"({"incarnation":1,"group":"g","epoch":1,"rank":0,"step":"1","map":0,)"
                    R"("orders":0})"},
        bad_message{"negative_memory",
                    R"({"incarnation":1,"group":"g","epoch":1,"rank":0,"step":1,"map":0,)"
                    R"("orders":0,"kv_used":-1})"},
        bad_message{"memory_beyond_any_engine",
                    R"({"incarnation":1,"group":"g","epoch":1,"rank":0,"step":1,"map":0,)"
                    R"("orders":0,"kv_used":9223372036854775807})"}),
    [](const auto& info) { return std::string(info.param.name); });

class bad_experts_test : public testing::TestWithParam<bad_message> {};

// Guards against a wrong number of an expert, which the coordinator would use as an index.
TEST_P(bad_experts_test, AreRefused) {
  const auto document =
      ParseJson(R"({"epoch":1,"version":1,"experts":[[0,)" + std::string(GetParam().text) + "]]}");
  ASSERT_TRUE(document);
  EXPECT_FALSE(HeldExpertsFromJson(document.value()));
}

INSTANTIATE_TEST_SUITE_P(numbers,
                         bad_experts_test,
                         testing::Values(bad_message{"negative", "-1"},
                                         bad_message{"beyond_any_engine", "1048576"},
                                         bad_message{"beyond_32_bits", "4294967301"},
                                         bad_message{"fraction", "1.5"},
                                         bad_message{"text", R"("1")"}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
