#include "quincebank/messages/messages.h"

#include <gtest/gtest.h>

namespace quincebank {
namespace {

agent_load SomeLoad() {
  agent_load load;
  load.in_flight = 3;
  load.limit = 8;
  load.cold = true;
  load.life = incarnation{42};
  load.boot = 7;
  load.config_version = 5;
  return load;
}

TEST(attempt_event_test, BodyKeepsAllBytes) {
  const std::string bytes("a\n\n\0b", 5);
  const auto decoded = DecodeAttemptEvent(Encode(attempt_event(attempt_body{bytes})));
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(std::get<attempt_body>(decoded.value()).bytes, bytes);
}

TEST(attempt_event_test, HeadKeepsStatusAndHeaders) {
  const auto decoded = DecodeAttemptEvent(
      Encode(attempt_event(attempt_head{201, {{"Content-Type", "text/plain"}}})));
  ASSERT_TRUE(decoded.has_value());
  const auto& head = std::get<attempt_head>(decoded.value());
  EXPECT_EQ(head.status, 201);
  EXPECT_EQ(head.headers.Get("content-type"), "text/plain");
}

// Guards against a refusal whose verdict or reason changes on the way to the entry.
TEST(attempt_event_test, FailureKeepsVerdictAndLedgerOutcome) {
  attempt_failure event;
  event.failure = MakeError(error_code::kStale, "old incarnation");
  event.refused_by_ledger = begin_outcome::kWrongIncarnation;
  event.retry_after = milliseconds(250);
  event.load = SomeLoad();
  const auto decoded = DecodeAttemptEvent(Encode(attempt_event(event)));
  ASSERT_TRUE(decoded.has_value());
  const auto& copy = std::get<attempt_failure>(decoded.value());
  EXPECT_EQ(copy.failure.code, error_code::kStale);
  EXPECT_EQ(copy.failure.outcome, verdict::kNotRun);
  EXPECT_EQ(copy.refused_by_ledger, begin_outcome::kWrongIncarnation);
  EXPECT_EQ(copy.retry_after, milliseconds(250));
  EXPECT_EQ(copy.load, SomeLoad());
}

class malformed_event_test : public testing::TestWithParam<const char*> {};

// Guards against reading a damaged event as the end of an answer.
TEST_P(malformed_event_test, IsAnError) {
  EXPECT_FALSE(DecodeAttemptEvent(GetParam()).has_value());
}

INSTANTIATE_TEST_SUITE_P(Events,
                         malformed_event_test,
                         testing::Values("",
                                         "data: {}\n\n",
                                         "event: end\n\n",
                                         "event: end\ndata: {}\n\n",
                                         "event: body\ndata: ###\n\n",
                                         "event: head\ndata: {\"status\": 9}\n\n",
                                         "event: other\ndata: {}\n\n"));

TEST(stream_locator_test, SurvivesTheWire) {
  const stream_locator locator{{"127.0.0.1", 9000}, incarnation{7}, attempt_id{1, 2}, 345};
  EXPECT_EQ(ParseStreamLocator(Encode(locator)), locator);
}

class malformed_locator_test : public testing::TestWithParam<const char*> {};

// Guards against answering a damaged `Last-Event-ID` with the wrong part of a stream.
TEST_P(malformed_locator_test, IsRefused) {
  EXPECT_EQ(ParseStreamLocator(GetParam()), std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(
    Texts,
    malformed_locator_test,
    testing::Values("",
                    "17",
                    "00000000000000010000000000000002_0000000000000007_x_127.0.0.1:9000",
                    "00000000000000010000000000000002_0000000000000007__127.0.0.1:9000",
                    "00000000000000010000000000000002_0000000000000007_5_host:9000",
                    "0000000000000001000000000000000_0000000000000007_5_127.0.0.1:9000"));

}  // namespace
}  // namespace quincebank
