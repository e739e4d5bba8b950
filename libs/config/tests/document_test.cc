#include "quincebank/config/document.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace quincebank {
namespace {

using fixtures::Document;
using fixtures::Replace;

struct fault_case {
  const char* name;
  const char* from;  ///< Part of the valid document that is replaced.
  const char* to;
  const char* path;
  const char* message;
};

class document_fault_test : public testing::TestWithParam<fault_case> {};

// Guards against faults that take effect, or are reported without the place in the document.
TEST_P(document_fault_test, IsRejectedWithItsPath) {
  const std::string text = Replace(Document(), GetParam().from, GetParam().to);
  ASSERT_NE(text, Document());
  const auto parsed = ParseDocument(text);
  ASSERT_FALSE(parsed.has_value());
  EXPECT_EQ(parsed.error().path, GetParam().path);
  EXPECT_NE(parsed.error().message.find(GetParam().message), std::string::npos)
      << Describe(parsed.error());
  EXPECT_EQ(parsed.error().outcome, verdict::kNotRun);
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    document_fault_test,
    testing::Values(
        fault_case{"syntax", "\"owner\": \"ml\"", "\"owner\" \"ml\"", "6:22", "syntax"},
        fault_case{"duplicate_section", "\"models\"", "\"domains\"", "6:11", "duplicate key"},
        fault_case{"duplicate_key", "\"weight\": 4", "\"name\": \"x\"", "25:29", "duplicate key"},
        fault_case{"unknown_kind", "\"failure_domains\", \"f", "\"zones\", \"f", "/domains/kind",
                   "unknown kind"},
        fault_case{"missing_owner", "\"owner\": \"ml\", ", "", "/models/owner", "missing"},
        fault_case{"unknown_section_key", "\"owner\": \"ml\"", "\"owner\": \"ml\", \"note\": 1",
                   "/models/note", "unknown key"},
        fault_case{"unknown_item_key", "\"weight\": 4", "\"wieght\": 4",
                   "/workspaces-a/workspaces/0/wieght", "unknown key"},
        fault_case{"list_of_other_kind", "\"model_versions\": [", "\"services\": [",
                   "/models/model_versions", "missing"},
        fault_case{"priority_range", "\"priority\": 7", "\"priority\": 10",
                   "/workspaces-a/workspaces/0/priority", "from 0 to 9"},
        fault_case{"zero_weight", "\"weight\": 4", "\"weight\": 0",
                   "/workspaces-a/workspaces/0/weight", "whole number"},
        fault_case{"port_range", "7001", "0", "/upstreams/upstreams/0/agent_port", "65535"},
        fault_case{"cold_above_full", "\"cold_limit\": 2", "\"cold_limit\": 5",
                   "/upstreams/upstreams/2/cold_limit", "above full_limit"},
        fault_case{"retention_below_1_h", "\"kind\": \"plain\"",
                   "\"kind\": \"plain\", \"claim_retention_ms\": 3599999",
                   "/services/services/1/claim_retention_ms", "from 3600000 to 604800000"},
        fault_case{"retention_above_a_week", "\"kind\": \"plain\"",
                   "\"kind\": \"plain\", \"claim_retention_ms\": 604800001",
                   "/services/services/1/claim_retention_ms", "from 3600000 to 604800000"},
        fault_case{"retention_not_in_seconds", "\"kind\": \"plain\"",
                   "\"kind\": \"plain\", \"claim_retention_ms\": 3600001",
                   "/services/services/1/claim_retention_ms", "whole seconds"},
        fault_case{"retention_below_timeout", "\"kind\": \"plain\"",
                   "\"kind\": \"plain\", \"total_timeout_ms\": 7200000, "
                   "\"claim_retention_ms\": 3600000",
                   "/services/services/1/claim_retention_ms", "shorter than total_timeout_ms"},
        fault_case{"bad_state", "\"state\": \"in\"", "\"state\": \"off\"",
                   "/domains/failure_domains/1/state", "\"in\" or \"out\""},
        fault_case{"bad_name", "\"halls\"", "\"halls/2\"", "/workspaces-a/workspaces/1/name",
                   "letters"},
        fault_case{"bad_prefix", "\"/stock\"", "\"stock\"",
                   "/services/services/1/routes/1/path_prefix", "starts with '/'"},
        fault_case{"lower_method", "\"GET\"", "\"get\"", "/services/services/1/routes/1/method",
                   "upper case"},
        fault_case{"hedged_plain_service", "\"kind\": \"plain\", \"routes\"",
                   "\"kind\": \"plain\", \"hedging\": {\"enabled\": true}, \"routes\"",
                   "/services/services/1/hedging", "only model services"},
        fault_case{"hedged_orders", "\"/v1/completions\", \"repeatable\": true}]}",
                   "\"/v1/completions\"}], \"hedging\": {\"enabled\": true}}",
                   "/services/services/0/hedging", "no repeatable route"},
        fault_case{"hedging_quantile", "\"repeatable\": true}]},",
                   "\"repeatable\": true}], \"hedging\": {\"quantile_percent\": 10}},",
                   "/services/services/0/hedging/quantile_percent", "50"},
        fault_case{"no_such_domain", "\"failure_domain\": \"multan\"",
                   "\"failure_domain\": \"quetta\"", "/upstreams/upstreams/1/failure_domain",
                   "'quetta'"},
        fault_case{"no_such_service", "\"service\": \"bahi\",\n     \"agent",
                   "\"service\": \"bhai\",\n     \"agent", "/upstreams/upstreams/2/service",
                   "'bhai'"},
        fault_case{"no_such_version", "\"version\": \"3\", \"routes\"",
                   "\"version\": \"4\", \"routes\"", "/services/services/0/version", "'4'"},
        fault_case{"no_such_workspace", "\"workspace\": \"stalls\"", "\"workspace\": \"stall\"",
                   "/objectives/objectives/1/workspace", "'stall'"},
        fault_case{"duplicate_upstream", "\"munshi-2\"", "\"munshi-1\"",
                   "/upstreams/upstreams/1/name", "duplicate"},
        fault_case{"duplicate_agent", "7002", "7001", "/upstreams/upstreams/1/agent_port",
                   "duplicate"},
        fault_case{"duplicate_domain", "\"name\": \"multan\"", "\"name\": \"lahore\"",
                   "/domains/failure_domains/1/name", "duplicate"},
        fault_case{"duplicate_across_sections", "\"objectives\": {\"owner\"",
                   "\"workspaces-b\": {\"owner\": \"sales\", \"kind\": \"workspaces\", "
                   "\"workspaces\": [{\"name\": \"stalls\"}]}, \"objectives\": {\"owner\"",
                   "/workspaces-b/workspaces/0/name", "duplicate"}),
    [](const auto& info) { return info.param.name; });

TEST(document_test, ReadsEveryKind) {
  const auto parsed = ParseDocument(Document("out"));
  ASSERT_TRUE(parsed.has_value()) << Describe(parsed.error());
  const config_document& document = parsed.value();
  ASSERT_EQ(document.sections.size(), 6U);
  const auto& domains =
      std::get<std::vector<failure_domain_config>>(document.Find("domains")->content);
  EXPECT_TRUE(domains[0].in_service);
  EXPECT_FALSE(domains[1].in_service);
  const auto& upstreams =
      std::get<std::vector<upstream_config>>(document.Find("upstreams")->content);
  EXPECT_TRUE(upstreams[1].checks_fencing);
  EXPECT_EQ(upstreams[0].queue_limit, 4U);
  EXPECT_EQ(document.Find("nothing"), nullptr);
}

// Guards against a digest that depends on comments, white space or the order of keys.
TEST(document_test, DigestIsThatOfTheCanonicalForm) {
  const auto a = ParsePartialDocument(
      R"({"w": {"owner": "o", "kind": "workspaces", "workspaces": [{"name": "x", "weight": 2}]}})");
  const auto b = ParsePartialDocument(
      "{\"w\": {/* c */ \"workspaces\": [{\"weight\":2,\"name\":\"x\",}],\n \"kind\": "
      "\"workspaces\", \"owner\": \"o\"}}");
  ASSERT_TRUE(a.has_value() && b.has_value());
  EXPECT_EQ(a.value().sections[0].digest, b.value().sections[0].digest);
  EXPECT_EQ(a.value().sections[0].body,
            R"({"kind":"workspaces","owner":"o","workspaces":[{"name":"x","weight":2}]})");
}

// Guards against an export that cannot be applied again or changes digests.
TEST(document_test, FormattedDocumentParsesToTheSameSections) {
  auto parsed = ParseDocument(Document());
  ASSERT_TRUE(parsed.has_value());
  parsed.value().base = config_base{7, "d", {{"domains", "e"}}};
  const auto again = ParseDocument(FormatDocument(parsed.value()));
  ASSERT_TRUE(again.has_value()) << Describe(again.error());
  for (const config_section& section : parsed.value().sections)
    EXPECT_EQ(again.value().Find(section.name)->digest, section.digest);
  ASSERT_TRUE(again.value().base.has_value());
  EXPECT_EQ(again.value().base->version, 7U);
  EXPECT_EQ(again.value().base->sections, parsed.value().base->sections);
}

// Guards against a body that the key-value service refuses after the checks have passed.
TEST(document_test, RejectsASectionAboveTheValueLimit) {
  std::string text = R"({"w": {"owner": "o", "kind": "workspaces", "workspaces": [)";
  for (int i = 0; i < 40'000; ++i)
    text += "{\"name\": \"workspace-" + std::to_string(i) + "\"},";
  const auto parsed = ParsePartialDocument(text + "]}}");
  ASSERT_FALSE(parsed.has_value());
  EXPECT_EQ(parsed.error().path, "/w");
  EXPECT_NE(parsed.error().message.find("split it"), std::string::npos);
}

}  // namespace
}  // namespace quincebank
