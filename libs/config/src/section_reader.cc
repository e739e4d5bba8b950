#include "section_reader.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "json_text.h"
#include "quincebank/base/digest.h"

namespace quincebank {
namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kMaxListedErrors = 50;
constexpr int_range kPort{1, 65535};
constexpr int_range kLimit{1, 1'000'000};
constexpr int_range kTimeoutMs{1, 86'400'000};
/// At least 1 h, since the claims of younger keys are taken for complete without a check; up to a
/// week, so that work that is put off over a weekend keeps its claim.
constexpr int_range kRetentionMs{3'600'000, 604'800'000};

constexpr int_range kLayers{1, 1'024};
constexpr int_range kExperts{1, 4'096};
constexpr int_range kSteps{1, 1'000'000'000};
constexpr int_range kCostUs{0, 60'000'000};
constexpr int_range kExpertBytes{1, 1'000'000'000'000};
/// The switch protocol keeps the ranks that have answered in 64 bits.
constexpr std::size_t kMaxRanks = 64;

std::string Name(json_reader& reader, std::string_view key) {
  std::string name = reader.String(key);
  if (!name.empty() && !IsName(name)) {
    reader.Fail(key, "expected at most 128 letters, digits, '.', '_' or '-'");
  }
  return name;
}

void Read(json_reader& reader, failure_domain_config& domain) {
  domain.name = Name(reader, "name");
  domain.region = Name(reader, "region");
  const std::string state = reader.String("state", "in");
  if (state != "in" && state != "out")
    reader.Fail("state", "expected \"in\" or \"out\"");
  domain.in_service = state == "in";
}

void Read(json_reader& reader, workspace_config& workspace) {
  workspace.name = Name(reader, "name");
  workspace.weight =
      static_cast<std::uint32_t>(reader.Int("weight", {1, 1'000'000}, workspace.weight));
  workspace.priority =
      static_cast<std::uint8_t>(reader.Int("priority", {0, 9}, workspace.priority));
}

void Read(json_reader& reader, model_version_config& version) {
  version.model = reader.String("model");
  version.version = reader.String("version");
  version.adapters = reader.Strings("adapters");
}

void Read(json_reader& reader, route_config& route) {
  route.method = reader.String("method");
  route.path_prefix = reader.String("path_prefix");
  route.repeatable = reader.Bool("repeatable", false);
  if (!route.path_prefix.empty() && route.path_prefix.front() != '/')
    reader.Fail("path_prefix", "expected a path that starts with '/'");
  const bool upper = std::all_of(route.method.begin(), route.method.end(),
                                 [](char c) { return c >= 'A' && c <= 'Z'; });
  if (!route.method.empty() && route.method != "*" && !upper)
    reader.Fail("method", "expected a method in upper case or \"*\"");
}

void Read(json_reader& reader, hedging_config& hedging) {
  constexpr int_range kSamples{1, 1'000'000};
  constexpr double kLeastPercent = 50;
  constexpr double kMostPercent = 99.9;
  hedging.enabled = reader.Bool("enabled", hedging.enabled);
  hedging.quantile_percent =
      reader.Number("quantile_percent", kLeastPercent, kMostPercent, hedging.quantile_percent);
  hedging.min_samples =
      static_cast<std::uint32_t>(reader.Int("min_samples", kSamples, hedging.min_samples));
  hedging.min_delay = reader.Millis("min_delay_ms", kTimeoutMs, hedging.min_delay);
}

// Nothing says that a plain service stops work that is cancelled, and work that goes on after its
// place was freed would exceed what the upstream can handle.
void CheckHedging(json_reader& reader, const service_config& service) {
  if (!service.hedging.enabled)
    return;
  if (service.kind != service_kind::kModel)
    reader.Fail("hedging", "only model services can cancel the slower copy");
  const bool repeatable = std::any_of(service.routes.begin(), service.routes.end(),
                                      [](const route_config& route) { return route.repeatable; });
  if (!repeatable)
    reader.Fail("hedging", "the service has no repeatable route");
}

void Read(json_reader& reader, service_config& service) {
  service.name = Name(reader, "name");
  const std::string kind = reader.String("kind");
  if (!kind.empty() && kind != "model" && kind != "plain")
    reader.Fail("kind", "expected \"model\" or \"plain\"");
  service.kind = kind == "model" ? service_kind::kModel : service_kind::kPlain;
  if (service.kind == service_kind::kModel) {
    service.model = reader.String("model");
    service.version = reader.String("version");
  }
  service.policy = reader.String("policy", "default");
  service.connect_timeout =
      reader.Millis("connect_timeout_ms", kTimeoutMs, service.connect_timeout);
  service.first_byte_timeout =
      reader.Millis("first_byte_timeout_ms", kTimeoutMs, service.first_byte_timeout);
  service.total_timeout = reader.Millis("total_timeout_ms", kTimeoutMs, service.total_timeout);
  service.claim_retention =
      reader.Millis("claim_retention_ms", kRetentionMs, service.claim_retention);
  if (service.total_timeout < service.first_byte_timeout)
    reader.Fail("total_timeout_ms", "shorter than first_byte_timeout_ms");
  if (service.claim_retention < service.total_timeout)
    reader.Fail("claim_retention_ms", "shorter than total_timeout_ms");
  if (service.claim_retention % seconds(1) != milliseconds(0))
    reader.Fail("claim_retention_ms", "expected whole seconds");
  reader.Each("routes", [&service](json_reader& child) {
    Read(child, service.routes.emplace_back());
    child.Finish();
  });
  reader.Child("hedging", [&service](json_reader& child) {
    Read(child, service.hedging);
    child.Finish();
  });
  CheckHedging(reader, service);
}

void Read(json_reader& reader, upstream_config& upstream) {
  upstream.name = Name(reader, "name");
  upstream.host = Name(reader, "host");
  upstream.failure_domain = Name(reader, "failure_domain");
  upstream.service = Name(reader, "service");
  upstream.agent_address = reader.String("agent_address");
  upstream.agent_port = static_cast<std::uint16_t>(reader.Int("agent_port", kPort));
  upstream.upstream_address = reader.String("upstream_address");
  upstream.upstream_port = static_cast<std::uint16_t>(reader.Int("upstream_port", kPort));
  upstream.cold_limit = static_cast<std::uint32_t>(reader.Int("cold_limit", kLimit));
  upstream.full_limit = static_cast<std::uint32_t>(reader.Int("full_limit", kLimit));
  upstream.queue_limit = static_cast<std::uint32_t>(reader.Int("queue_limit", {0, kLimit.max}, 0));
  upstream.warm_requests =
      static_cast<std::uint32_t>(reader.Int("warm_requests", {0, kLimit.max}, 16));
  upstream.checks_fencing = reader.Bool("checks_fencing", false);
  if (upstream.cold_limit > upstream.full_limit)
    reader.Fail("cold_limit", "above full_limit");
}

void Read(json_reader& reader, objective_config& objective) {
  objective.service = Name(reader, "service");
  objective.workspace = reader.String("workspace", "");
  objective.availability = reader.Number("availability", 0, 1, objective.availability);
  objective.latency_threshold =
      reader.Millis("latency_threshold_ms", kTimeoutMs, objective.latency_threshold);
  objective.latency_percent = reader.Number("latency_percent", 0, 100, objective.latency_percent);
}

void Read(json_reader& reader, expert_group_config& group) {
  group.name = Name(reader, "name");
  group.layers = static_cast<int>(reader.Int("layers", kLayers));
  group.experts = static_cast<int>(reader.Int("experts", kExperts));
  group.slots_per_rank = static_cast<int>(reader.Int("slots_per_rank", kExperts));
  if (!reader.Has("ranks"))
    reader.Fail("ranks", "missing");
  group.ranks = reader.Strings("ranks");
  group.step_margin = static_cast<std::uint64_t>(
      reader.Int("step_margin", kSteps, static_cast<std::int64_t>(group.step_margin)));
  const std::chrono::microseconds cost(reader.Int(
      "cost_per_megabyte_us", kCostUs,
      std::chrono::duration_cast<std::chrono::microseconds>(group.cost_per_megabyte).count()));
  group.cost_per_megabyte = cost;
  group.expert_bytes = reader.Int("expert_bytes", kExpertBytes, group.expert_bytes);
  group.horizon_steps = reader.Int("horizon_steps", kSteps, group.horizon_steps);
  group.min_steps_between_changes =
      reader.Int("min_steps_between_changes", {0, kSteps.max}, group.min_steps_between_changes);
  if (group.ranks.empty() || group.ranks.size() > kMaxRanks)
    reader.Fail("ranks", "expected 1 to " + std::to_string(kMaxRanks) + " upstreams");
  if (group.slots_per_rank > group.experts)
    reader.Fail("slots_per_rank", "above experts; a rank holds an expert once");
  if (group.slots_per_rank * static_cast<std::int64_t>(group.ranks.size()) < group.experts)
    reader.Fail("slots_per_rank", "the ranks have fewer slots than there are experts");
}

template <typename T>
section_content ReadList(json_reader& reader, section_kind kind) {
  std::vector<T> items;
  if (!reader.Has(ToString(kind)))
    reader.Fail(ToString(kind), "missing");
  reader.Each(ToString(kind), [&items](json_reader& child) {
    Read(child, items.emplace_back());
    child.Finish();
  });
  items.shrink_to_fit();
  return items;
}

section_content ReadContent(json_reader& reader, section_kind kind) {
  switch (kind) {
    case section_kind::kFailureDomains:
      return ReadList<failure_domain_config>(reader, kind);
    case section_kind::kWorkspaces:
      return ReadList<workspace_config>(reader, kind);
    case section_kind::kModelVersions:
      return ReadList<model_version_config>(reader, kind);
    case section_kind::kServices:
      return ReadList<service_config>(reader, kind);
    case section_kind::kUpstreams:
      return ReadList<upstream_config>(reader, kind);
    case section_kind::kObjectives:
      return ReadList<objective_config>(reader, kind);
    case section_kind::kExpertGroups:
      return ReadList<expert_group_config>(reader, kind);
  }
  return {};
}

}  // namespace

bool IsName(std::string_view text) noexcept {
  if (text.empty() || text.size() > kMaxNameLength)
    return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '_' || c == '-';
  });
}

error JoinFirstErrors(std::vector<error> errors) {
  const std::size_t count = errors.size();
  errors.resize(std::min(count, kMaxListedErrors));
  error joined = JoinErrors(errors);
  if (count > kMaxListedErrors)
    joined.message += "\nand " + std::to_string(count - kMaxListedErrors) + " more";
  return joined;
}

config_section ReadSection(const boost::json::value& value,
                           std::string name,
                           const std::string& path,
                           std::vector<error>& errors) {
  config_section section;
  section.name = std::move(name);
  if (!IsName(section.name)) {
    errors.push_back({error_code::kInvalidArgument,
                      "section name has a character outside of "
                      "letters, digits, '.', '_' and '-', or more than 128",
                      verdict::kNotRun, path});
  }
  json_reader reader(value, path, errors);
  if (!value.is_object())
    return section;
  section.owner = Name(reader, "owner");
  const std::string kind_name = reader.String("kind");
  const auto kind = ParseSectionKind(kind_name);
  if (!kind) {
    if (!kind_name.empty())
      reader.Fail("kind", "unknown kind of section");
    return section;
  }
  section.content = ReadContent(reader, *kind);
  reader.Finish();
  section.body = CanonicalJson(value);
  section.digest = Sha256Hex(section.body);
  if (section.body.size() > kMaxSectionBytes) {
    errors.push_back({error_code::kInvalidArgument,
                      "section holds " + std::to_string(section.body.size()) +
                          " bytes, more than " + std::to_string(kMaxSectionBytes) + "; split it",
                      verdict::kNotRun, path});
  }
  return section;
}

}  // namespace quincebank
