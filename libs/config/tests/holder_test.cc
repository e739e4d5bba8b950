#include "quincebank/config/holder.h"

#include <gtest/gtest.h>

#include "fixtures.h"
#include "quincebank/base/digest.h"
#include "quincebank/config/plan.h"

namespace quincebank {
namespace {

constexpr time_point kStart{seconds(100)};

/// Accepted versions 1, 2, ... of one deployment.
class history {
 public:
  explicit history(std::size_t versions) {
    config_snapshot current;
    for (std::size_t i = 0; i < versions; ++i) {
      apply_request request;
      request.document = ParseDocument(fixtures::Document(i % 2 == 0 ? "in" : "out")).value();
      request.author = "ops";
      request.force = true;
      request.id = std::to_string(i);
      const auto plan = PlanApply(BaseOf(current.root), current, request);
      current = {plan.value().root, request.document};
      snapshots_.push_back(current);
    }
  }
  [[nodiscard]] const config_snapshot& At(std::uint64_t version) const {
    return snapshots_.at(version - 1);
  }
  [[nodiscard]] root_announcement Announce(std::uint64_t version,
                                           std::optional<milliseconds> age) const {
    return {version, Digest(At(version).root), age};
  }
  /// Stores the missing bodies that this version has.
  void Feed(config_holder& holder, std::uint64_t version, time_point now) const {
    for (int round = 0; round < 2; ++round) {
      for (const std::string& digest : holder.Missing()) {
        const std::string root = Serialize(At(version).root);
        if (Sha256Hex(root) == digest) {
          EXPECT_TRUE(holder.Store(digest, root, now).has_value());
        }
        for (const config_section& section : At(version).document.sections) {
          if (section.digest == digest) {
            EXPECT_TRUE(holder.Store(digest, section.body, now).has_value());
          }
        }
      }
    }
  }

 private:
  std::vector<config_snapshot> snapshots_;
};

struct relation_case {
  const char* name;
  std::uint64_t version;
  const char* digest;  ///< Null for the true one.
  root_source source;
  root_relation relation;
  std::uint64_t conflicts;
  std::uint64_t service_behind;
};

class holder_relation_test : public testing::TestWithParam<relation_case> {};

// Guards against a node that goes back to an older version, or replaces one of the same number.
TEST_P(holder_relation_test, NeverReverts) {
  const history all(4);
  config_holder holder({}, kStart);
  holder.Hear(all.Announce(3, milliseconds(0)), root_source::kService, kStart, kStart);
  all.Feed(holder, 3, kStart);
  ASSERT_EQ(holder.version(), 3U);
  root_announcement heard = all.Announce(GetParam().version, milliseconds(0));
  if (GetParam().digest != nullptr)
    heard.digest = GetParam().digest;
  EXPECT_EQ(holder.Hear(heard, GetParam().source, kStart, kStart), GetParam().relation);
  all.Feed(holder, GetParam().version, kStart);
  EXPECT_EQ(holder.version(), GetParam().relation == root_relation::kNewer ? 4U : 3U);
  EXPECT_EQ(holder.Status(kStart).conflicts, GetParam().conflicts);
  EXPECT_EQ(holder.Status(kStart).service_behind, GetParam().service_behind);
}

INSTANTIATE_TEST_SUITE_P(
    Announcements,
    holder_relation_test,
    testing::Values(
        relation_case{"newer", 4, nullptr, root_source::kPeer, root_relation::kNewer, 0, 0},
        relation_case{"newer_offer", 4, nullptr, root_source::kOffer, root_relation::kNewer, 0, 0},
        relation_case{"same", 3, nullptr, root_source::kPeer, root_relation::kSame, 0, 0},
        relation_case{"stale_peer", 2, nullptr, root_source::kPeer, root_relation::kOlder, 0, 0},
        relation_case{"lagging_watch", 2, nullptr, root_source::kService, root_relation::kOlder, 0,
                      1},
        relation_case{"other_digest", 3, "ff", root_source::kPeer, root_relation::kConflict, 1, 0},
        relation_case{"other_digest_in_service", 3, "ff", root_source::kService,
                      root_relation::kConflict, 1, 0}),
    [](const auto& info) { return info.param.name; });

struct fresh_case {
  const char* name;
  std::optional<milliseconds> age;  ///< Of the root that a peer announces after 2 s.
  milliseconds until;               ///< Since start.
  std::uint64_t version;
  holder_state state;
};

class fresh_node_test : public testing::TestWithParam<fresh_case> {};

// Guards against a restarted node that takes a stale peer's root for the one in force.
TEST_P(fresh_node_test, WaitsForARootHeldAfterItsStart) {
  const history all(2);
  config_holder holder({}, kStart);
  const time_point heard_at = kStart + seconds(2);
  holder.Hear(all.Announce(1, GetParam().age), root_source::kPeer, heard_at, heard_at);
  all.Feed(holder, 1, heard_at);
  const time_point now = kStart + GetParam().until;
  holder.Tick(now);
  EXPECT_EQ(holder.version(), GetParam().version);
  EXPECT_EQ(holder.Status(now).state, GetParam().state);
}

INSTANTIATE_TEST_SUITE_P(
    Peers,
    fresh_node_test,
    testing::Values(fresh_case{"confirmed_after_start", milliseconds(500), milliseconds(2'000), 1,
                               holder_state::kConfirmed},
                    fresh_case{"confirmed_before_start", milliseconds(2'500), milliseconds(2'000),
                               0, holder_state::kEmpty},
                    fresh_case{"taken_after_the_wait", milliseconds(2'500), milliseconds(3'000), 1,
                               holder_state::kProvisional},
                    fresh_case{"unknown_age", std::nullopt, milliseconds(3'000), 1,
                               holder_state::kProvisional},
                    fresh_case{"grown_old", milliseconds(0), milliseconds(12'001), 1,
                               holder_state::kUnconfirmed}),
    [](const auto& info) { return info.param.name; });

// Guards against ages that shrink on their way between nodes.
TEST(holder_test, AgeCountsFromTheSendingOfTheRequest) {
  const history all(1);
  config_holder holder({}, kStart);
  const time_point now = kStart + seconds(2);
  holder.Hear(all.Announce(1, milliseconds(100)), root_source::kPeer, now - milliseconds(300), now);
  all.Feed(holder, 1, now);
  ASSERT_EQ(holder.version(), 1U);
  EXPECT_EQ(holder.Announce(now).age, milliseconds(400));
  EXPECT_EQ(holder.Announce(now + seconds(1)).age, milliseconds(1'400));
  // An older confirmation does not make the root look younger or older.
  holder.Hear(all.Announce(1, milliseconds(900)), root_source::kPeer, now, now);
  EXPECT_EQ(holder.Announce(now).age, milliseconds(400));
}

// Guards against a node that stays behind because the peer with the newest root is gone.
TEST(holder_test, AdoptsAnOlderCandidateWhileTheNewestIsIncomplete) {
  const history all(4);
  config_holder holder({}, kStart);
  holder.Hear(all.Announce(1, milliseconds(0)), root_source::kService, kStart, kStart);
  all.Feed(holder, 1, kStart);
  holder.Hear(all.Announce(4, milliseconds(0)), root_source::kPeer, kStart, kStart);
  holder.Hear(all.Announce(2, milliseconds(0)), root_source::kPeer, kStart, kStart);
  EXPECT_EQ(holder.Missing().front(), Digest(all.At(4).root));
  all.Feed(holder, 2, kStart);
  EXPECT_EQ(holder.version(), 2U);
  EXPECT_TRUE(holder.config()->IsDomainDrained("multan"));
  all.Feed(holder, 4, kStart);
  EXPECT_EQ(holder.version(), 4U);
}

// Guards against a configuration that is in force in part, or damaged on its way.
TEST(holder_test, AdoptsOnlyTheWhole) {
  const history all(2);
  config_holder holder({}, kStart);
  holder.Hear(all.Announce(1, milliseconds(0)), root_source::kService, kStart, kStart);
  const std::string root = Serialize(all.At(1).root);
  EXPECT_FALSE(holder.Store(Sha256Hex(root), root + " ", kStart).has_value());
  ASSERT_TRUE(holder.Store(Sha256Hex(root), root, kStart).has_value());
  while (holder.Missing().size() > 1) {
    const std::string digest = holder.Missing().back();
    for (const config_section& section : all.At(1).document.sections) {
      if (section.digest == digest) {
        ASSERT_TRUE(holder.Store(digest, section.body, kStart).has_value());
      }
    }
    EXPECT_EQ(holder.version(), 0U);
    EXPECT_EQ(holder.config(), nullptr);
  }
  all.Feed(holder, 1, kStart);
  EXPECT_EQ(holder.version(), 1U);
  EXPECT_NE(holder.Body(holder.Announce(kStart).digest), nullptr);
}

// Guards against a faulty root that a node adopts, or that it forgets to report.
TEST(holder_test, ReportsAFaultyRootAndKeepsTheHeldOne) {
  const history all(1);
  config_holder holder({}, kStart);
  holder.Hear(all.Announce(1, milliseconds(0)), root_source::kService, kStart, kStart);
  all.Feed(holder, 1, kStart);
  config_root faulty = all.At(1).root;
  faulty.version = 2;
  faulty.sections.erase("models");
  const auto relation =
      holder.HearRootBody(Serialize(faulty), root_source::kService, kStart, kStart);
  ASSERT_TRUE(relation.has_value());
  EXPECT_EQ(holder.version(), 1U);
  EXPECT_NE(holder.Status(kStart).last_error.find("/services"), std::string::npos);
  EXPECT_TRUE(holder.Missing().empty());
}

// Guards against a change that costs three calls from node to node, and against answers without
// bound or with sections that the asker has.
TEST(holder_test, AnswerBringsWhatTheAskerLacks) {
  const history all(3);
  config_holder holder({}, kStart);
  EXPECT_TRUE(holder.Answer(0, kStart).bodies.empty());
  holder.Hear(all.Announce(3, milliseconds(0)), root_source::kService, kStart, kStart);
  all.Feed(holder, 3, kStart);
  EXPECT_TRUE(holder.Answer(3, kStart).bodies.empty());
  EXPECT_TRUE(holder.Answer(4, kStart).bodies.empty());
  const root_answer delta = holder.Answer(2, kStart);
  EXPECT_EQ(delta.bodies, (std::vector<std::string>{Serialize(all.At(3).root),
                                                    all.At(3).document.Find("domains")->body}));
  EXPECT_EQ(holder.Answer(0, kStart).bodies.size(), 1 + all.At(3).document.sections.size());
  const auto again = RootAnswerFromJson(ToJson(delta));
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(again.value().bodies, delta.bodies);
}

// Guards against bodies of old versions that pile up.
TEST(holder_test, KeepsOnlyTheBodiesOfTheHeldRoot) {
  const history all(2);
  config_holder holder({}, kStart);
  for (const std::uint64_t version : {1U, 2U}) {
    holder.Hear(all.Announce(version, milliseconds(0)), root_source::kService, kStart, kStart);
    all.Feed(holder, version, kStart);
  }
  EXPECT_EQ(holder.Body(all.At(1).document.Find("domains")->digest), nullptr);
  EXPECT_EQ(holder.Body(Digest(all.At(1).root)), nullptr);
  EXPECT_NE(holder.Body(all.At(2).document.Find("domains")->digest), nullptr);
}

}  // namespace
}  // namespace quincebank
