#include "document_cost.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>

#include "quincebank/base/random.h"
#include "quincebank/config/config.h"

namespace quincebank {
namespace {

constexpr std::size_t kWorkspaceCounts[] = {10, 1'000, 10'000, 50'000};
constexpr std::size_t kPerSection = 500;
constexpr std::size_t kUpstreams = 620;
constexpr int kRounds = 5;
constexpr int kLookups = 1'000'000;

double MillisSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
      .count();
}

std::string Text(std::size_t workspaces, int change) {
  std::string text = R"({"d": {"owner": "ops", "kind": "failure_domains", "failure_domains": [
    {"name": "east", "region": "r"}, {"name": "west", "region": "r"}]},
    "s": {"owner": "ops", "kind": "services", "services": [{"name": "s", "kind": "plain"}]},
    "u": {"owner": "ops", "kind": "upstreams", "upstreams": [)";
  for (std::size_t i = 0; i < kUpstreams; ++i) {
    const std::string number = std::to_string(i);
    text.append(R"({"name": "munshi-)").append(number).append(R"(", "host": "host-)");
    text.append(number).append(R"(", "failure_domain": ")").append(i % 2 == 0 ? "east" : "west");
    text.append(R"(", "service": "s", "agent_address": "10.0.0.1", "agent_port": )");
    text.append(std::to_string(7'000 + i));
    text.append(R"(, "upstream_address": "10.0.0.1", "upstream_port": 80, "cold_limit": 2,
      "full_limit": 16, "queue_limit": 32},)");
  }
  text += "]}";
  for (std::size_t i = 0; i < workspaces; ++i) {
    if (i % kPerSection == 0) {
      text += (i > 0 ? "]}" : "");
      text += ", \"w" + std::to_string(i / kPerSection) +
              R"(": {"owner": "ops", "kind": "workspaces", "workspaces": [)";
    }
    text += "{\"name\": \"workspace-" + std::to_string(i) +
            "\", \"weight\": " + std::to_string(i == 0 ? 2 + change : 1) + ", \"priority\": 5},";
  }
  return text + "]}}";
}

/// Reads one line of the process status, such as `VmRSS`, in MiB.
double StatusMiB(const std::string& name) {
  std::ifstream status("/proc/self/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with(name + ":"))
      return std::stod(line.substr(name.size() + 1)) / 1'024;
  }
  return 0;
}

/// Gives unused heap back and restarts the record of the highest resident size.
double ResetPeak() {
  malloc_trim(0);
  std::ofstream("/proc/self/clear_refs") << "5";
  return StatusMiB("VmRSS");
}

struct cost {
  double parse_ms = 0;
  double build_ms = 0;
  double adopt_ms = 0;
  double held_mib = 0;
  double peak_mib = 0;
  double snapshot_mib = 0;
  double body_mib = 0;
  double lookup_ns = 0;
};

apply_plan PlanOf(const config_snapshot& current, const config_document& document) {
  apply_request request;
  request.document = document;
  request.author = "ops";
  request.id = std::to_string(current.root.version);
  return PlanApply(BaseOf(current.root), current, request).value();
}

void Feed(config_holder& holder, const config_snapshot& snapshot, time_point now) {
  (void)holder.HearRootBody(Serialize(snapshot.root), root_source::kService, now, now);
  for (const config_section& section : snapshot.document.sections)
    (void)holder.Store(section.digest, section.body, now);
}

cost Measure(std::size_t workspaces) {
  cost found;
  constexpr double kMiB = 1'048'576;
  const time_point now{seconds(100)};
  config_snapshot current;
  found.parse_ms = found.build_ms = found.adopt_ms = 1e9;
  config_holder holder({}, now);
  for (int round = 0; round < kRounds; ++round) {
    const std::string text = Text(workspaces, round);
    auto start = std::chrono::steady_clock::now();
    auto parsed = ParseDocument(text);
    found.parse_ms = std::min(found.parse_ms, MillisSince(start));
    current = {PlanOf(current, parsed.value()).root, std::move(parsed).value()};
    config_document copy = current.document;
    start = std::chrono::steady_clock::now();
    const auto built = effective_config::Build(1, "d", std::move(copy));
    found.build_ms = std::min(found.build_ms, MillisSince(start));
    found.snapshot_mib = static_cast<double>(built.value()->EstimateBytes()) / kMiB;
    Feed(holder, current, now);
  }
  // One section changes; the node fetches it and adopts the whole again.
  const config_document next = ParseDocument(Text(workspaces, kRounds)).value();
  const apply_plan plan = PlanOf(current, next);
  const double resident = ResetPeak();
  auto start = std::chrono::steady_clock::now();
  (void)holder.HearRootBody(Serialize(plan.root), root_source::kService, now, now);
  for (const config_section& section : plan.changed)
    (void)holder.Store(section.digest, section.body, now);
  found.adopt_ms = MillisSince(start);
  found.peak_mib = StatusMiB("VmHWM") - resident;
  if (holder.version() != plan.root.version)
    std::puts("the change was not adopted");
  for (const config_section& section : next.sections)
    found.body_mib += static_cast<double>(section.body.size()) / kMiB;
  std::uint64_t sum = 0;
  start = std::chrono::steady_clock::now();
  for (int i = 0; i < kLookups; ++i) {
    const auto share = holder.config()->FindWorkspace(Mix64(static_cast<std::uint64_t>(i)));
    sum += share ? share->weight : 1;
  }
  found.lookup_ns = MillisSince(start) * 1e6 / kLookups;
  if (sum == 0)
    std::puts("no lookups");
  // Heap of a node that has adopted the configuration and holds nothing else.
  const std::size_t before = mallinfo2().uordblks;
  config_holder fresh({}, now);
  Feed(fresh, current, now);
  found.held_mib = static_cast<double>(mallinfo2().uordblks - before) / kMiB;
  return found;
}

}  // namespace

void PrintDocumentCost() {
  std::puts("Document cost, 620 upstreams, 500 workspaces to a section, best of 5 rounds\n");
  std::puts(
      "| workspaces | parse and check, ms | build snapshot, ms | adopt one changed section, ms | "
      "bodies, MiB | snapshot, MiB | heap of holder, MiB | growth while adopting, MiB | "
      "workspace lookup, ns |");
  std::puts("|---|---|---|---|---|---|---|---|---|");
  for (const std::size_t workspaces : kWorkspaceCounts) {
    const cost found = Measure(workspaces);
    std::printf("| %zu | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f | %.2f | %.0f |\n", workspaces,
                found.parse_ms, found.build_ms, found.adopt_ms, found.body_mib, found.snapshot_mib,
                found.held_mib, found.peak_mib, found.lookup_ns);
  }
}

}  // namespace quincebank
