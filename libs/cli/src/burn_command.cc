#include <boost/json/serialize.hpp>
#include <ostream>

#include "commands.h"
#include "quincebank/telemetry/burn_report.h"

namespace quincebank {
namespace {

constexpr std::size_t kParallelCalls = 64;
constexpr double kPercent = 100.0;

std::vector<objective> ObjectivesOf(const config_document& document) {
  std::vector<objective> objectives;
  for (const config_section& section : document.sections) {
    if (section.kind() != section_kind::kObjectives)
      continue;
    for (const objective_config& from : std::get<std::vector<objective_config>>(section.content)) {
      objectives.push_back({from.service, from.workspace, from.availability, from.latency_threshold,
                            from.latency_percent / kPercent});
    }
  }
  return objectives;
}

}  // namespace

result<void> RunBurn(tool_context& context, const tool_options& options) {
  BOOST_OUTCOME_TRY(const std::vector<host_entry> hosts, ReadHosts(context, options));
  BOOST_OUTCOME_TRY(const config_document document, ReadInForce(context, options));
  burn_counts merged;
  std::vector<std::string> missing;
  ForEachParallel(hosts.size(), kParallelCalls, [&](std::size_t i) {
    const host_entry& host = hosts[i];
    if (host.role != "entry")
      return;
    const auto answer = GetJson(context, host.process, "/burn");
    const auto counts =
        answer ? BurnCountsFromJson(answer.value()) : result<burn_counts>(answer.error());
    const auto added = counts ? merged.Merge(counts.value()) : result<void>(counts.error());
    if (!added)
      missing.push_back(host.host + ": " + Describe(added.error()));
  });
  const burn_report report = MakeBurnReport(merged, ObjectivesOf(document), {});
  if (options.json) {
    context.out << boost::json::serialize(ToJson(report)) << "\n";
  } else {
    context.out << ToText(report);
  }
  for (const std::string& line : missing)
    context.out << "not included: " << line << "\n";
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace quincebank
