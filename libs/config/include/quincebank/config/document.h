#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/config/root.h"

namespace quincebank {

/// \brief What a section holds. The order is that of the alternatives of `section_content`.
enum class section_kind : std::uint8_t {
  kFailureDomains,
  kWorkspaces,
  kModelVersions,
  kServices,
  kUpstreams,
  kObjectives,
  kExpertGroups,
};

/// \brief Returns the name in documents, which is also the key of the section's list.
[[nodiscard]] std::string_view ToString(section_kind kind) noexcept;
[[nodiscard]] std::optional<section_kind> ParseSectionKind(std::string_view text) noexcept;

struct failure_domain_config {
  std::string name;
  std::string region;
  bool in_service = true;  ///< False once operators have taken it out.
};

struct workspace_config {
  std::string name;
  std::uint32_t weight = 1;   ///< Fair share in relation to the other workspaces.
  std::uint8_t priority = 5;  ///< 0 (lowest) to 9.
};

struct model_version_config {
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
};

struct route_config {
  std::string method;  ///< Upper case, or `*` for any.
  std::string path_prefix;
  bool repeatable = false;  ///< True if the work may run more than once.
};

enum class service_kind : std::uint8_t { kModel, kPlain };

/// \brief When a slow repeatable request of a service is sent to a second upstream.
struct hedging_config {
  bool enabled = false;
  double quantile_percent = 95;     ///< Share of first bytes that come before a hedge is sent.
  std::uint32_t min_samples = 100;  ///< First bytes that an entry must have seen.
  milliseconds min_delay{20};
};

struct service_config {
  std::string name;
  service_kind kind = service_kind::kPlain;
  std::string model;    ///< Empty for plain services.
  std::string version;  ///< Empty for plain services.
  std::string policy;   ///< Name of the routing policy.
  milliseconds connect_timeout{500};
  milliseconds first_byte_timeout{10'000};
  milliseconds total_timeout{60'000};
  milliseconds claim_retention{86'400'000};
  hedging_config hedging;
  std::vector<route_config> routes;
};

struct upstream_config {
  std::string name;
  std::string host;
  std::string failure_domain;
  std::string service;
  std::string agent_address;
  std::uint16_t agent_port = 0;
  std::string upstream_address;
  std::uint16_t upstream_port = 0;
  std::uint32_t cold_limit = 1;  ///< Requests that the upstream can handle in cold start.
  std::uint32_t full_limit = 1;  ///< Requests that it can handle when warm.
  std::uint32_t queue_limit = 0;
  std::uint32_t warm_requests = 16;  ///< Finished requests that end a cold start at the earliest.
  bool checks_fencing = false;       ///< True if it rejects orders with a stale fencing token.
};

struct objective_config {
  std::string service;
  std::string workspace;  ///< Empty for all workspaces.
  double availability = 0.999;
  milliseconds latency_threshold{1'000};
  double latency_percent = 95;  ///< Share of requests that must be within the threshold.
};

/// \brief Ranks that run in lock-step on one expert map, and what a change of the map costs.
struct expert_group_config {
  std::string name;
  int layers = 1;
  int experts = 1;         ///< In each layer.
  int slots_per_rank = 1;  ///< Expert weights that a rank holds in each layer.
  /// Names of upstreams, in the order of their ranks; a rank is in one group only.
  std::vector<std::string> ranks;
  std::uint64_t step_margin = 64;  ///< Steps between the last prepared rank and a switch.
  nanoseconds cost_per_megabyte{2'000'000};
  std::int64_t expert_bytes = 88'000'000;  ///< Weights of one expert in one layer.
  std::int64_t horizon_steps = 20'000;     ///< Steps until the next expected change.
  std::int64_t min_steps_between_changes = 1'000;
};

using section_content = std::variant<std::vector<failure_domain_config>,
                                     std::vector<workspace_config>,
                                     std::vector<model_version_config>,
                                     std::vector<service_config>,
                                     std::vector<upstream_config>,
                                     std::vector<objective_config>,
                                     std::vector<expert_group_config>>;

/// \brief One section with its stored form.
struct config_section {
  std::string name;
  std::string owner;
  std::string body;    ///< Canonical JSON: keys sorted, no comments, no white space.
  std::string digest;  ///< SHA-256 of `body`.
  section_content content;

  [[nodiscard]] section_kind kind() const noexcept {
    return static_cast<section_kind>(content.index());
  }
};

/// \brief All sections, ordered by name.
struct config_document {
  std::vector<config_section> sections;
  std::optional<config_base> base;  ///< Member `$base`, which an export writes.

  [[nodiscard]] const config_section* Find(std::string_view name) const noexcept;
};

/// \brief Largest canonical section body, since a value of the key-value service holds 1 MB.
inline constexpr std::size_t kMaxSectionBytes = 1'000'000;

/// \brief Reads and checks a whole document.
///
/// Rejected are syntax errors (path `line:column`), duplicate keys, unknown keys, wrong values,
/// duplicate names across sections, and names that no section defines (path as a JSON pointer).
///
/// \returns The document, or one error that lists all faults, a line each.
///
/// \example
///   auto parsed = ParseDocument(R"({"zones": {"owner": "ops", "kind": "failure_domains",
///     "failure_domains": [{"name": "multan", "region": "punjab", "state": "in"}]}})");
[[nodiscard]] result<config_document> ParseDocument(std::string_view text);

/// \brief Reads a document without the checks across sections, as `apply` of a part needs.
[[nodiscard]] result<config_document> ParsePartialDocument(std::string_view text);

/// \brief Reads one stored section body.
[[nodiscard]] result<config_section> ParseSection(std::string_view name, std::string_view body);

/// \brief Checks duplicates and references across all sections of a document.
[[nodiscard]] result<void> CheckDocument(const config_document& document);

/// \brief Writes a document as JSON, with `$base` if it is set, for `quincebank export`.
[[nodiscard]] std::string FormatDocument(const config_document& document);

}  // namespace quincebank
