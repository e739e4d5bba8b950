#include "quincebank/gateway/stream_position.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "quincebank/net/sse.h"

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

// Guards against a second run at the wrong event because a comment counts as progress, and against
// comments that pile up behind an event that is held.
TEST(stream_position, CommentsMoveNothing) {
  stream_position position;
  position.BeginRun();
  for (const char* const id : {"0", "1", "2"})
    EXPECT_EQ(position.OnEvent(Event(id)), event_action::kPass) << id;
  EXPECT_EQ(position.OnEvent(": alive\n\n"), event_action::kPassAhead);
  EXPECT_EQ(position.resume_after(), 2U);
  EXPECT_EQ(position.OnEvent(Event("9")), event_action::kHold);
  EXPECT_EQ(position.OnEvent(": alive\n\n"), event_action::kPassAhead);
  EXPECT_TRUE(position.CanResume());
  EXPECT_EQ(position.resume_after(), 2U);
  EXPECT_EQ(position.OnEvent(Event("4")), event_action::kPass);
  EXPECT_EQ(position.resume_after(), 4U);
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
    EXPECT_NE(position.OnEvent(Event(id)), event_action::kReject);
  EXPECT_EQ(position.CanResume(), GetParam().can_resume);
  if (GetParam().can_resume) {
    EXPECT_EQ(position.resume_after(), GetParam().resume_after);
  }
}

INSTANTIATE_TEST_SUITE_P(
    streams,
    known_place_test,
    testing::Values(
        place_case{"nothing", {}, std::nullopt},
        place_case{"from_zero", {"0"}, std::nullopt},
        place_case{"from_another_number", {"7"}, std::nullopt},
        place_case{"follows", {"7", "8"}, std::nullopt},
        place_case{"follows_twice", {"7", "8", "9"}, 9},
        place_case{"gap", {"7", "9"}, std::nullopt},
        place_case{"in_tens", {"10", "20", "30", "40"}, 30},
        place_case{"lower", {"7", "8", "2"}, std::nullopt},
        place_case{"lower_in_tens", {"10", "20", "30", "4"}, std::nullopt, false},
        place_case{"higher_after_lower", {"7", "8", "2", "10"}, 10},
        place_case{"follows_after_lower", {"7", "8", "2", "10", "11"}, 11},
        place_case{"unreadable", {"7", "8", "9x"}, std::nullopt},
        place_case{"unreadable_in_tens", {"10", "20", "30", "4x"}, std::nullopt, false},
        place_case{"after_unreadable_in_tens", {"10", "20", "3x", "40"}, std::nullopt, false},
        place_case{"follows_after_unreadable", {"7", "9x", "9", "10"}, 10},
        place_case{"zero_after_unreadable", {"7", "x", "y", "0"}, std::nullopt, false},
        place_case{"zero_after_highest",
                   {"18446744073709551610", "18446744073709551614", "18446744073709551615", "0"},
                   std::nullopt,
                   false},
        place_case{"higher_after_three", {"7", "8", "9", "90"}, 9},
        place_case{"lower_after_three", {"7", "8", "9", "1"}, 9},
        place_case{"two_higher_after_three", {"7", "8", "9", "90", "91"}, 9},
        place_case{"gap_after_three", {"7", "8", "9", "20", "21", "22"}, 22},
        place_case{"in_tens_after_three", {"7", "8", "9", "10", "20", "30", "40"}, 30}),
    [](const auto& info) { return std::string(info.param.name); });

/// Events of a stream whose ids grow by a step.
class numbered_stream {
 public:
  numbered_stream(std::uint64_t first, std::uint64_t step) {
    for (std::uint64_t id = first; id < first + kEvents * step; id += step) {
      starts_.push_back(body_.size());
      ids_.push_back(id);
      body_ += Event(std::to_string(id));
    }
  }

  [[nodiscard]] const std::string& body() const { return body_; }
  /// Where the run of an upstream begins that is asked to go on after an id.
  [[nodiscard]] std::size_t StartAfter(std::optional<std::uint64_t> id) const {
    const auto next = id ? std::upper_bound(ids_.begin(), ids_.end(), *id) : ids_.begin();
    return next == ids_.end() ? body_.size() : starts_[next - ids_.begin()];
  }
  /// Places of the digits of all ids.
  [[nodiscard]] std::vector<std::size_t> IdDigits() const {
    std::vector<std::size_t> places;
    for (const std::size_t start : starts_) {
      for (std::size_t at = start + 4; body_[at] != '\n'; ++at)
        places.push_back(at);
    }
    return places;
  }
  [[nodiscard]] const std::vector<std::size_t>& starts() const { return starts_; }

 private:
  static constexpr std::uint64_t kEvents = 7;

  std::string body_;
  std::vector<std::size_t> starts_;
  std::vector<std::uint64_t> ids_;
};

std::string WithByte(std::string body, std::size_t at, char byte) {
  body.at(at) = byte;
  return body;
}

/// Leaves one blank line between events; further ones mean nothing.
std::string WithoutBlankLines(std::string body) {
  for (std::size_t at = body.find("\n\n\n"); at != std::string::npos; at = body.find("\n\n\n"))
    body.erase(at, 1);
  return body;
}

/// Relays a run as the gateway does and adds what the client gets to `received`. Returns what is
/// held after it; nothing if the run was rejected or ended within an event.
std::optional<std::string> Relay(stream_position& position,
                                 std::string_view run,
                                 std::string& received) {
  position.BeginRun();
  sse_splitter splitter;
  std::string held;
  bool is_continued = true;
  splitter.Feed(run, [&](std::string_view event) {
    const event_action action = is_continued ? position.OnEvent(event) : event_action::kReject;
    is_continued = action != event_action::kReject;
    if (action == event_action::kPass)
      received += held;
    if (action != event_action::kHold && action != event_action::kPassAhead)
      held.clear();
    if (action == event_action::kHold)
      held += event;
    else if (is_continued && action != event_action::kSkip)
      received += event;
  });
  return is_continued && splitter.rest().empty() ? std::optional(held) : std::nullopt;
}

/// Where an upstream begins that is asked to go on with a stream.
enum class run_start : std::uint8_t { kWhereAsked, kBeginning };

struct numbering {
  const char* name;
  std::uint64_t first;
  std::uint64_t step;
};

class wrong_byte_test : public testing::TestWithParam<numbering> {
 protected:
  /// Relays a run that breaks off, another one that goes on and, if that one is of no use, a sound
  /// one. Returns what the client has of a complete stream; nothing if it does not look complete.
  std::optional<std::string> Resume(const std::string& first,
                                    const std::string& second,
                                    run_start begins = run_start::kWhereAsked) const {
    stream_position position;
    std::string received;
    (void)Relay(position, first, received);
    for (const std::string* const run : {&second, &body_}) {
      if (!position.CanResume())
        return std::nullopt;
      const bool from_beginning = run == &second && begins == run_start::kBeginning;
      const std::size_t start = from_beginning ? 0 : stream_.StartAfter(position.resume_after());
      const auto held = Relay(position, std::string_view(*run).substr(start), received);
      if (held && position.IsCompleteAtEnd())
        return WithoutBlankLines(received + *held);
    }
    return std::nullopt;
  }

  const numbered_stream stream_{GetParam().first, GetParam().step};
  const std::string& body_ = stream_.body();
  const std::string bytes_ = "0123456789x: \r\n";
};

class numbered_by_one_test : public wrong_byte_test {};

// Guards against events that come twice since an upstream begins at the start, whatever it was
// asked for, and one wrong byte, of either answer, hides that.
TEST_P(wrong_byte_test, HidesNoRunThatBeginsAtTheStart) {
  for (std::size_t at = 0; at < body_.size(); ++at) {
    for (const char byte : bytes_) {
      const std::string wrong = WithByte(body_, at, byte);
      for (const std::size_t cut : stream_.starts()) {
        for (const bool is_first : {true, false}) {
          const auto received = Resume((is_first ? wrong : body_).substr(0, cut),
                                       is_first ? body_ : wrong, run_start::kBeginning);
          ASSERT_TRUE(!received || *received == body_ || *received == WithoutBlankLines(wrong))
              << at << " " << byte << " " << cut << " " << is_first << "\n"
              << *received;
        }
      }
    }
  }
}

// Guards against a resumed stream that ends as complete although one wrong byte, wherever it
// stands, made an event come twice or go missing.
TEST_P(wrong_byte_test, NeverMovesThePlaceOfTheNextRun) {
  for (std::size_t at = 0; at < body_.size(); ++at) {
    for (const char byte : bytes_) {
      const std::string wrong = WithByte(body_, at, byte);
      for (std::size_t cut = 0; cut <= body_.size(); ++cut) {
        const auto received = Resume(wrong.substr(0, cut), body_);
        ASSERT_TRUE(!received || *received == body_ || *received == WithoutBlankLines(wrong))
            << at << " " << byte << " " << cut << "\n"
            << *received;
      }
    }
  }
}

// Guards against an event of a later run that is taken for a repeat because of one wrong byte.
TEST_P(wrong_byte_test, DropsNoEventOfALaterRun) {
  for (std::size_t at = 0; at < body_.size(); ++at) {
    for (const char byte : bytes_) {
      const std::string wrong = WithByte(body_, at, byte);
      for (const std::size_t cut : stream_.starts()) {
        const auto received = Resume(body_.substr(0, cut), wrong);
        ASSERT_TRUE(!received || *received == body_ || *received == WithoutBlankLines(wrong))
            << at << " " << byte << " " << cut << "\n"
            << *received;
      }
    }
  }
}

// Guards against a stream that is cut although its place is known.
TEST_P(numbered_by_one_test, IsNotCutForAWrongId) {
  for (const std::size_t at : stream_.IdDigits()) {
    for (const char byte : std::string("0123456789x")) {
      const std::string wrong = WithByte(body_, at, byte);
      for (const std::size_t cut : stream_.starts()) {
        if (cut == stream_.starts()[1] && at < cut)
          continue;  // Nothing else shows the place of the only event.
        ASSERT_TRUE(Resume(wrong.substr(0, cut), body_)) << at << " " << byte << " " << cut;
      }
    }
  }
}

// Guards against two wrong ids, one in each run, that agree with each other by chance.
TEST_P(wrong_byte_test, MovesNothingIfEachRunHasAWrongId) {
  const std::string digits = "0123456789";
  for (const std::size_t first : stream_.IdDigits()) {
    for (const std::size_t second : stream_.IdDigits()) {
      for (std::size_t i = 0; i < digits.size() * digits.size(); ++i) {
        const std::string wrong = WithByte(body_, first, digits[i % digits.size()]);
        const std::string later = WithByte(body_, second, digits[i / digits.size()]);
        for (const std::size_t cut : stream_.starts()) {
          const auto received = Resume(wrong.substr(0, cut), later);
          if (!received)
            continue;
          const std::string expected = WithByte(body_, first, received->at(first));
          ASSERT_EQ(*received, WithByte(expected, second, received->at(second))) << cut;
        }
      }
    }
  }
}

const numbering kNumberedByOne[]{{"from_zero", 0, 1}, {"from_one", 1, 1}, {"over_nine", 7, 1}};
const numbering kNumberedBySteps[]{{"in_twos", 8, 2}, {"in_tens", 10, 10}};

std::string Name(const testing::TestParamInfo<numbering>& info) {
  return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(by_one, wrong_byte_test, testing::ValuesIn(kNumberedByOne), Name);
INSTANTIATE_TEST_SUITE_P(by_steps, wrong_byte_test, testing::ValuesIn(kNumberedBySteps), Name);
INSTANTIATE_TEST_SUITE_P(by_one, numbered_by_one_test, testing::ValuesIn(kNumberedByOne), Name);

}  // namespace
}  // namespace quincebank
