#include "quincebank/expert_control/count_window.h"

#include <gtest/gtest.h>

#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

count_window OverTheWire(const count_window& window) {
  const auto read = CountWindowFromJson(ToJson(window));
  EXPECT_TRUE(read);
  return read ? read.value() : count_window{};
}

pick_counts Units(std::uint64_t epoch, std::vector<std::uint64_t> units) {
  for (std::uint64_t& count : units)
    count *= kCountUnit;
  return {epoch, std::move(units)};
}

// Guards against counts that are wrong after a lost answer, another reader or a restart, which
// would make the coordinator plan for experts that are not in demand.
TEST(count_window, SumsStayRightWhateverIsLost) {
  count_recorder agent(100);
  count_sum reader;
  const pick_counts first = Units(1, {5, 0, 300});
  EXPECT_EQ(reader.Add(OverTheWire(agent.Take(first, {reader.mark()}))).value(), first);
  const pick_counts second = Units(1, {6, 200, 70'000});
  const count_window window = agent.Take(second, {reader.mark()});
  EXPECT_EQ(window.counts, (std::vector<std::uint64_t>{1, 200, 69'700}));
  EXPECT_EQ(reader.Add(OverTheWire(window)).value(), second);

  (void)agent.Take(Units(1, {7, 201, 70'001}), {reader.mark()});
  const pick_counts third = Units(1, {8, 202, 70'002});
  EXPECT_EQ(reader.Add(OverTheWire(agent.Take(third, {reader.mark()}))).value(), third);

  const pick_counts restarted = Units(2, {1, 0, 0});
  EXPECT_EQ(reader.Add(OverTheWire(agent.Take(restarted, {reader.mark()}))).value(), restarted);
}

// Guards against choices that are lost in rounding, or since there were too few to tell.
TEST(count_window, FewChoicesComeWithALaterWindow) {
  constexpr std::uint64_t kReads = 1'000;
  constexpr std::uint64_t kEach = 3;
  count_recorder agent(100);
  count_sum reader;
  int told = 0;
  pick_counts sum;
  for (std::uint64_t read = 0; read <= kReads; ++read) {
    const pick_counts now{1, {read * kEach, read * kEach}};
    const count_window window = agent.Take(now, {reader.mark(), 100});
    told += window.counts.empty() ? 0 : 1;
    sum = reader.Add(OverTheWire(window)).value();
  }
  EXPECT_LT(told, 40);
  EXPECT_NEAR(static_cast<double>(sum.counts[0]), kReads * kEach, 200);
}

TEST(count_window, AWindowOfAnotherReadIsRefused) {
  count_recorder agent(100);
  count_sum reader;
  ASSERT_TRUE(reader.Add(agent.Take(Units(1, {1, 1}), {})));
  EXPECT_FALSE(reader.Add({1, 7, 5, {1, 1}}));
  EXPECT_EQ(reader.mark(), 0U);
}

struct bad_window {
  const char* name;
  const char* text;
};

class bad_window_test : public testing::TestWithParam<bad_window> {};

TEST_P(bad_window_test, IsRefused) {
  const auto document = ParseJson(GetParam().text);
  ASSERT_TRUE(document);
  EXPECT_FALSE(CountWindowFromJson(document.value()));
}

INSTANTIATE_TEST_SUITE_P(
    messages,
    bad_window_test,
    testing::Values(bad_window{"no_base64", R"({"epoch":1,"mark":2,"since":1,"counts":"*"})"},
                    bad_window{"cut_number", R"({"epoch":1,"mark":2,"since":1,"counts":"gA=="})"},
                    bad_window{"endless_number",
                               R"({"epoch":1,"mark":2,"since":1,"counts":"gICAgICAgICAgICAgIAB"})"},
                    bad_window{"no_mark", R"({"epoch":1,"since":1,"counts":"AA=="})"},
                    bad_window{"list", R"({"epoch":1,"mark":2,"since":1,"counts":[1]})"}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
