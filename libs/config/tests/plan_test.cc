#include "quincebank/config/plan.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace quincebank {
namespace {

using fixtures::Document;
using fixtures::Replace;

constexpr wall_time kAt{seconds(1'000)};

config_document Parse(const std::string& text) {
  auto parsed = ParsePartialDocument(text);
  EXPECT_TRUE(parsed.has_value()) << Describe(parsed.error());
  return std::move(parsed).value();
}

apply_request Request(const std::string& text, std::string author) {
  apply_request request;
  request.document = Parse(text);
  request.author = std::move(author);
  request.id = "id-" + request.author;
  request.at = kAt;
  return request;
}

config_snapshot After(const config_snapshot& current, apply_request request) {
  request.force = true;
  auto plan = PlanApply(BaseOf(current.root), current, request);
  EXPECT_TRUE(plan.has_value()) << Describe(plan.error());
  return {plan.value().root, request.document};
}

config_snapshot First() {
  return After({}, Request(Document(), "ops"));
}

const std::string kWeight5 = Replace(Document(), "\"weight\": 4", "\"weight\": 5");
const std::string kWeight6 = Replace(Document(), "\"weight\": 4", "\"weight\": 6");
const std::string kTimeout = Replace(Document(), "1200", "1300");

struct merge_case {
  const char* name;
  std::string theirs;  ///< Accepted after the base.
  std::string mine;
  const char* author;
  bool force;
  bool accepted;
  error_code code;
  const char* path;
  const char* message;
};

class merge_test : public testing::TestWithParam<merge_case> {};

// Guards against a lost change, an unnoticed conflict, and a change by a team that is not the
// owner.
TEST_P(merge_test, MergesOrNamesTheReason) {
  const config_snapshot base = First();
  const config_snapshot current = After(base, Request(GetParam().theirs, "anna"));
  apply_request mine = Request(GetParam().mine, GetParam().author);
  mine.force = GetParam().force;
  const auto plan = PlanApply(BaseOf(base.root), current, mine);
  ASSERT_EQ(plan.has_value(), GetParam().accepted)
      << (plan ? std::string() : Describe(plan.error()));
  if (plan) {
    EXPECT_EQ(plan.value().root.version, current.root.version + 1);
    EXPECT_EQ(plan.value().root.previous.front(), Digest(current.root));
    return;
  }
  EXPECT_EQ(plan.error().code, GetParam().code);
  EXPECT_EQ(plan.error().path, GetParam().path);
  EXPECT_NE(plan.error().message.find(GetParam().message), std::string::npos)
      << plan.error().message;
}

INSTANTIATE_TEST_SUITE_P(
    Sides,
    merge_test,
    testing::Values(
        merge_case{"other_section", kTimeout, kWeight5, "sales", false, true, {}, "", ""},
        merge_case{"same_section", kWeight6, kWeight5, "sales", false, false, error_code::kConflict,
                   "/workspaces-a", "'anna' in version 2"},
        merge_case{"same_section_names_owner", kWeight6, kWeight5, "sales", false, false,
                   error_code::kConflict, "/workspaces-a", "owner 'sales'"},
        merge_case{"force_is_no_override", kWeight6, kWeight5, "sales", true, false,
                   error_code::kConflict, "/workspaces-a", "'anna'"},
        merge_case{"not_owner", kTimeout, kWeight5, "web", false, false,
                   error_code::kInvalidArgument, "/workspaces-a", "owned by 'sales'"},
        merge_case{"not_owner_forced", kTimeout, kWeight5, "web", true, true, {}, "", ""},
        merge_case{"dependent_changes",
                   Replace(Document(), "{\"service\": \"bahi\", \"workspace\": \"stalls\"}", ""),
                   Replace(Document(), "\"name\": \"stalls\"", "\"name\": \"stands\""),
                   "sales",
                   false,
                   true,
                   {},
                   "",
                   ""},
        merge_case{"merge_breaks_reference", kTimeout,
                   Replace(Document(), "\"name\": \"stalls\"", "\"name\": \"stands\""), "sales",
                   false, false, error_code::kInvalidArgument, "/objectives/objectives/1/workspace",
                   "after the merge with version 2"}),
    [](const auto& info) { return info.param.name; });

// Guards against a version for a change that both sides made in the same way.
TEST(plan_test, SameChangeOnBothSidesIsUnchanged) {
  const config_snapshot base = First();
  const config_snapshot current = After(base, Request(kWeight5, "anna"));
  const auto plan = PlanApply(BaseOf(base.root), current, Request(kWeight5, "sales"));
  ASSERT_TRUE(plan.has_value());
  EXPECT_TRUE(plan.value().unchanged);
  EXPECT_EQ(plan.value().root, current.root);
}

// Guards against a part of the document that removes the sections of others.
TEST(plan_test, PartialDocumentKeepsTheOtherSections) {
  const config_snapshot current = First();
  apply_request mine = Request(
      R"({"workspaces-b": {"owner": "sales", "kind": "workspaces", "workspaces": [{"name": "w"}]}})",
      "sales");
  mine.partial = true;
  const auto plan = PlanApply(BaseOf(current.root), current, mine);
  ASSERT_TRUE(plan.has_value()) << Describe(plan.error());
  EXPECT_EQ(plan.value().root.sections.size(), current.root.sections.size() + 1);
  ASSERT_EQ(plan.value().changed.size(), 1U);
  EXPECT_EQ(plan.value().root.sections.at("workspaces-b"),
            (section_ref{plan.value().changed[0].digest, 2, "sales"}));
  EXPECT_EQ(plan.value().root.sections.at("domains").version, 1U);
}

// Guards against the removal of a section by a team that does not own it.
TEST(plan_test, OnlyTheOwnerRemovesASection) {
  const config_snapshot current = First();
  apply_request mine = Request(Document(), "sales");
  std::erase_if(mine.document.sections,
                [](const config_section& section) { return section.name == "objectives"; });
  const auto refused = PlanApply(BaseOf(current.root), current, mine);
  ASSERT_FALSE(refused.has_value());
  EXPECT_EQ(refused.error().path, "/objectives");
  mine.team = "ops";
  const auto plan = PlanApply(BaseOf(current.root), current, mine);
  ASSERT_TRUE(plan.has_value()) << Describe(plan.error());
  EXPECT_FALSE(plan.value().root.sections.contains("objectives"));
}

// Guards against a new owner who takes a section without the old owner's consent.
TEST(plan_test, OwnershipIsGivenAwayByTheOldOwner) {
  const config_snapshot current = First();
  const std::string text = Replace(Document(), "\"owner\": \"sales\"", "\"owner\": \"web\"");
  EXPECT_FALSE(PlanApply(BaseOf(current.root), current, Request(text, "web")).has_value());
  EXPECT_TRUE(PlanApply(BaseOf(current.root), current, Request(text, "sales")).has_value());
}

// Guards against a document of unknown age that undoes accepted changes.
TEST(plan_test, WithoutABaseNothingInForceIsChanged) {
  const config_snapshot current = First();
  const auto refused = PlanApply({}, current, Request(kWeight5, "sales"));
  ASSERT_FALSE(refused.has_value());
  EXPECT_EQ(refused.error().path, "/workspaces-a");
  EXPECT_NE(refused.error().message.find("names no $base"), std::string::npos);
  const auto same = PlanApply({}, current, Request(Document(), "sales"));
  ASSERT_TRUE(same.has_value());
  EXPECT_TRUE(same.value().unchanged);
}

// Guards against a merge with a base that comes from another deployment or from the future.
TEST(plan_test, RejectsAForeignBase) {
  const config_snapshot first = First();
  const config_snapshot second = After(first, Request(kWeight5, "anna"));
  EXPECT_FALSE(PlanApply(BaseOf(second.root), first, Request(kWeight6, "sales")).has_value());
  config_root foreign = first.root;
  foreign.id = "another";
  EXPECT_FALSE(PlanApply(BaseOf(foreign), second, Request(kTimeout, "ops")).has_value());
}

// Guards against a root whose history grows without bound or loses its order.
TEST(plan_test, HistoryIsBoundedAndOrdered) {
  config_snapshot current = First();
  std::vector<std::string> digests;
  for (std::size_t i = 0; i < kRootHistory + 5; ++i) {
    digests.insert(digests.begin(), Digest(current.root));
    current = After(current, Request(i % 2 == 0 ? kWeight5 : kWeight6, "anna"));
  }
  digests.resize(kRootHistory);
  EXPECT_EQ(current.root.previous, digests);
}

TEST(root_test, SurvivesItsStoredForm) {
  const config_root root = First().root;
  const auto parsed = ParseRoot(Serialize(root));
  ASSERT_TRUE(parsed.has_value()) << Describe(parsed.error());
  EXPECT_EQ(parsed.value(), root);
  const root_announcement sent{3, Digest(root), milliseconds(20)};
  const auto heard = AnnouncementFromJson(ToJson(sent));
  ASSERT_TRUE(heard.has_value());
  EXPECT_EQ(heard.value().age, sent.age);
  EXPECT_FALSE(AnnouncementFromJson(ToJson(root_announcement{1, "x", {}})).has_value());
}

}  // namespace
}  // namespace quincebank
