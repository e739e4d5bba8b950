#include "quincebank/gateway/stream_position.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace quincebank {
namespace {

std::string Event(const std::string& id) {
  return "id: " + id + "\ndata: x\n\n";
}

// Guards against dropping events after the last one that the client names: the first run of a
// continued stream has no repeats either.
TEST(stream_position, PassesAllEventsOfAContinuedStream) {
  stream_position position(12);
  position.BeginRun();
  for (const char* const id : {"13", "4", "15", "16"})
    EXPECT_EQ(position.OnEvent(Event(id)), event_action::kPass) << id;
  EXPECT_EQ(position.disordered(), 1U);
  EXPECT_EQ(position.resume_after(), 16U);
}

// Guards against a second run at the wrong event because a comment counts as progress.
TEST(stream_position, CommentsMoveNothing) {
  stream_position position;
  position.BeginRun();
  EXPECT_EQ(position.OnEvent(Event("0")), event_action::kPass);
  EXPECT_EQ(position.OnEvent(": alive\n\n"), event_action::kPass);
  EXPECT_TRUE(position.CanResume());
  EXPECT_EQ(position.resume_after(), 0U);
}

struct place_case {
  const char* name;
  std::vector<std::string> ids;
  std::optional<std::uint64_t> resume_after;  ///< Nothing also for the start of the stream.
  bool can_resume = true;
};

class known_place_test : public testing::TestWithParam<place_case> {};

TEST_P(known_place_test, FollowsFromTheLastIds) {
  stream_position position;
  position.BeginRun();
  for (const std::string& id : GetParam().ids)
    EXPECT_EQ(position.OnEvent(Event(id)), event_action::kPass);
  EXPECT_EQ(position.CanResume(), GetParam().can_resume);
  if (GetParam().can_resume) {
    EXPECT_EQ(position.resume_after(), GetParam().resume_after);
  }
}

INSTANTIATE_TEST_SUITE_P(
    streams,
    known_place_test,
    testing::Values(place_case{"nothing", {}, std::nullopt},
                    place_case{"from_zero", {"0"}, 0},
                    place_case{"from_another_number", {"7"}, std::nullopt},
                    place_case{"follows", {"7", "8"}, 8},
                    place_case{"gap", {"7", "9"}, 7},
                    place_case{"lower", {"7", "8", "2"}, std::nullopt, false},
                    place_case{"higher_after_lower", {"7", "8", "2", "10"}, std::nullopt, false},
                    place_case{"follows_after_lower", {"7", "8", "2", "10", "11"}, 11},
                    place_case{"unreadable", {"7", "8", "9x"}, std::nullopt, false},
                    place_case{"follows_after_unreadable", {"7", "9x", "9", "10"}, 10},
                    place_case{"zero_after_unreadable", {"7", "x", "0"}, std::nullopt, false},
                    place_case{"zero_after_highest",
                               {"18446744073709551614", "18446744073709551615", "0"},
                               std::nullopt,
                               false}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
