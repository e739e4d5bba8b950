#include "quincebank/membership/host_view.h"

#include <gtest/gtest.h>

#include <map>

namespace quincebank {
namespace {

constexpr time_point kStart{seconds(100)};
constexpr incarnation kFirst{1};
constexpr incarnation kSecond{2};

ref_ptr<const effective_config> Config(std::uint64_t version,
                                       std::size_t upstreams,
                                       bool east_out = false) {
  std::string text = R"({"d": {"owner": "o", "kind": "failure_domains", "failure_domains": [
      {"name": "east", "region": "r", "state": ")" +
                     std::string(east_out ? "out" : "in") +
                     R"("}, {"name": "west", "region": "r"}]},
    "s": {"owner": "o", "kind": "services", "services": [{"name": "s", "kind": "plain"}]},
    "u": {"owner": "o", "kind": "upstreams", "upstreams": [)";
  for (std::size_t i = 0; i < upstreams; ++i) {
    text += R"({"name": "u)" + std::to_string(1'000 + i) + R"(", "host": "h)" + std::to_string(i) +
            R"(", "failure_domain": ")" + (i % 2 == 0 ? "east" : "west") +
            R"(", "service": "s", "agent_address": "a", "agent_port": )" + std::to_string(1 + i) +
            R"(, "upstream_address": "a", "upstream_port": 1, "cold_limit": 1, "full_limit": 1},)";
  }
  return effective_config::Build(version, "d", ParseDocument(text + "]}}").value()).value();
}

/// One event about upstream 0 (host `h0`, domain `east`).
struct view_event {
  enum class kind : std::uint8_t { kContact, kListed, kLeaving, kUnlisted, kDrain, kReturn } what;
  contact seen = contact::kAccepting;
  std::optional<incarnation> sender;
};
using what = view_event::kind;

struct view_case {
  const char* name;
  std::vector<view_event> events;
  upstream_status status;
};

class host_view_test : public testing::TestWithParam<view_case> {};

// Guards against new work for upstreams that are gone, and against upstreams that never return.
TEST_P(host_view_test, JoinsListAndEvidence) {
  host_view view("entry", {}, kStart);
  std::uint64_t version = 1;
  view.OnConfig(Config(version, 6), kStart);
  time_point now = kStart;
  const auto list = [](bool with, bool leaving) {
    std::vector<listed_host> hosts;
    hosts.reserve(6);
    for (int i = with ? 0 : 1; i < 6; ++i)
      hosts.push_back({"h" + std::to_string(i), i == 0 && leaving});
    return hosts;
  };
  for (const view_event& event : GetParam().events) {
    now += milliseconds(100);
    switch (event.what) {
      case what::kContact:
        view.OnContact("u1000", event.seen, event.sender, now);
        break;
      case what::kListed:
      case what::kLeaving:
        view.OnHostList(list(true, event.what == what::kLeaving), now);
        break;
      case what::kUnlisted:
        view.OnHostList(list(false, false), now);
        break;
      case what::kDrain:
      case what::kReturn:
        view.OnConfig(Config(++version, 6, event.what == what::kDrain), now);
        break;
    }
  }
  EXPECT_EQ(view.status(0), GetParam().status) << ToString(view.status(0));
  EXPECT_EQ(view.status(1), upstream_status::kUsable);
}

constexpr auto kUsable = upstream_status::kUsable;
constexpr auto kSuspected = upstream_status::kSuspected;
constexpr auto kLeaving = upstream_status::kLeaving;
constexpr auto kDrained = upstream_status::kDrained;

view_event Saw(contact seen, std::optional<incarnation> sender = kFirst) {
  return {what::kContact, seen, sender};
}

INSTANTIATE_TEST_SUITE_P(
    Events,
    host_view_test,
    testing::Values(
        view_case{"not_listed_yet", {{what::kUnlisted}}, kUsable},
        view_case{"refused", {Saw(contact::kRefused, {})}, kSuspected},
        view_case{"one_silence", {Saw(contact::kSilent, {})}, kUsable},
        view_case{"two_silences",
                  {Saw(contact::kSilent, {}), Saw(contact::kSilent, {})},
                  kSuspected},
        view_case{"silence_answer_silence",
                  {Saw(contact::kSilent, {}), Saw(contact::kBusy), Saw(contact::kSilent, {})},
                  kUsable},
        view_case{"list_is_no_evidence", {Saw(contact::kRefused, {}), {what::kListed}}, kSuspected},
        view_case{"answer_is_evidence", {Saw(contact::kRefused, {}), Saw(contact::kBusy)}, kUsable},
        view_case{"list_says_leaving", {{what::kListed}, {what::kLeaving}}, kLeaving},
        view_case{"leaving_but_answers", {{what::kLeaving}, Saw(contact::kAccepting)}, kLeaving},
        view_case{"left_the_list", {{what::kListed}, {what::kUnlisted}}, kLeaving},
        view_case{"back_in_the_list",
                  {{what::kListed}, {what::kUnlisted}, {what::kListed}},
                  kUsable},
        view_case{"agent_says_leaving", {Saw(contact::kRejectedLeaving)}, kLeaving},
        view_case{"late_answer_of_the_leaving_agent",
                  {Saw(contact::kRejectedLeaving), Saw(contact::kAccepting)},
                  kLeaving},
        view_case{"successor_of_the_leaving_agent",
                  {Saw(contact::kRejectedLeaving), Saw(contact::kAccepting, kSecond)},
                  kUsable},
        view_case{"successor_rejects_first",
                  {Saw(contact::kRejectedLeaving), Saw(contact::kRejectedDrained, kSecond),
                   Saw(contact::kAccepting, kSecond)},
                  kUsable},
        view_case{"successor_leaves_too",
                  {Saw(contact::kRejectedLeaving), Saw(contact::kRejectedLeaving, kSecond),
                   Saw(contact::kAccepting, kSecond)},
                  kLeaving},
        view_case{"agent_says_drained", {Saw(contact::kRejectedDrained)}, kDrained},
        view_case{"agent_says_drained_then_accepts",
                  {Saw(contact::kRejectedDrained), Saw(contact::kAccepting)},
                  kUsable},
        view_case{"drained_by_configuration", {{what::kDrain}}, kDrained},
        view_case{"drained_but_answers", {{what::kDrain}, Saw(contact::kAccepting)}, kDrained},
        view_case{"returned", {{what::kDrain}, {what::kReturn}}, kUsable},
        view_case{"returned_but_was_suspected",
                  {Saw(contact::kRefused, {}), {what::kDrain}, {what::kReturn}},
                  kSuspected},
        view_case{"drained_and_leaving", {{what::kLeaving}, {what::kDrain}}, kDrained}),
    [](const auto& info) { return info.param.name; });

// Guards against a faulty host list that takes the whole fleet out.
TEST(host_list_test, AnEmptyOrHalvedListTakesNothingOut) {
  host_view view("entry", {}, kStart);
  view.OnConfig(Config(1, 8), kStart);
  std::vector<listed_host> all;
  all.reserve(8);
  for (int i = 0; i < 8; ++i)
    all.push_back({"h" + std::to_string(i), false});
  view.OnHostList(all, kStart);
  view.OnHostList({}, kStart);
  EXPECT_EQ(view.CountOf(kUsable), 8U);
  view.OnHostList({all[0], all[1]}, kStart);
  EXPECT_EQ(view.CountOf(kUsable), 8U);
  view.OnHostList({all[0], all[1], all[2], all[3], all[4]}, kStart);
  EXPECT_EQ(view.CountOf(kLeaving), 3U);
}

struct poll_budget_case {
  const char* name;
  std::size_t upstreams;
  std::size_t suspected;
  std::size_t polls;  ///< Expected in 60 s, at most.
  std::size_t probes_of_one;
};

class poll_budget_test : public testing::TestWithParam<poll_budget_case> {};

// Guards against polls that grow with the fleet, against probes that hammer or starve the usable
// upstreams, and against an upstream that is never asked again.
TEST_P(poll_budget_test, PollsAreBoundedAndProbesBackOff) {
  host_view view("entry", {}, kStart);
  view.OnConfig(Config(1, GetParam().upstreams), kStart);
  std::map<std::uint32_t, std::size_t> polls;
  std::size_t total = 0;
  for (std::uint32_t i = 0; i < GetParam().suspected; ++i)
    view.OnContact(view.config()->upstreams()[i].name, contact::kRefused, {}, kStart);
  for (time_point now = kStart; now < kStart + seconds(60); now += milliseconds(50)) {
    for (const std::uint32_t upstream : view.DuePolls(now)) {
      ++polls[upstream];
      ++total;
      const bool dead = upstream < GetParam().suspected;
      view.OnContact(view.config()->upstreams()[upstream].name,
                     dead ? contact::kRefused : contact::kAccepting,
                     dead ? std::nullopt : std::optional(kFirst), now);
    }
  }
  EXPECT_LE(total, GetParam().polls);
  EXPECT_EQ(polls.size(), GetParam().upstreams);
  for (std::uint32_t i = 0; i < GetParam().suspected; ++i)
    EXPECT_LE(polls[i], GetParam().probes_of_one);
  EXPECT_EQ(view.IsCutOff(), GetParam().suspected == GetParam().upstreams);
}

/// 16 polls/s for 60 s, and one full budget at the start.
constexpr std::size_t kMostPolls = 976;

INSTANTIATE_TEST_SUITE_P(Fleets,
                         poll_budget_test,
                         // Probes of one
                         // upstream come after 1, 2, 4, 8, 16 and 30 s, or up to a quarter earlier.
                         testing::Values(poll_budget_case{"today", 19, 2, kMostPolls, 8},
                                         poll_budget_case{"target", 620, 60, kMostPolls, 8},
                                         poll_budget_case{"all_suspected", 19, 19, kMostPolls, 8}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace quincebank
