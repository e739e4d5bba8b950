#include "bench_system.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

#include "quincebank/base/json_reader.h"
#include "quincebank/config/root.h"

namespace quincebank {
namespace {

constexpr int kEntries = 7;
constexpr int kEngines = 16;
constexpr int kLookupTtlMs = 1'000;

deployment_plan Plan(bool relays, int full_limit) {
  deployment_plan plan;
  plan.entries = kEntries;
  plan.drafts = kEngines;
  plan.orders = kOrderServices;
  plan.lookup_ttl_ms = kLookupTtlMs;
  plan.relays = relays;
  plan.full_limit = full_limit;
  plan.engine_options = {"--first-token-ms=20", "--token-ms=5"};
  return plan;
}

time_point TimeOf(const boost::json::value& counters, std::string_view member) {
  const boost::json::object* const object = counters.if_object();
  const boost::json::value* const value = object ? object->if_contains(member) : nullptr;
  return value == nullptr ? time_point()
                          : time_point(std::chrono::microseconds(value->to_number<std::int64_t>()));
}

bool IsEngine(const std::string& upstream) {
  return upstream.starts_with("drafts-");
}

}  // namespace

bench_system::bench_system(bool relays, int full_limit) : system_(Plan(relays, full_limit)) {}

std::vector<std::string> bench_system::UpstreamsOfDomain() {
  // Hosts are dealt to the three failure domains in turn; the second gets 1, 4, 7, ...
  constexpr int kDomains = 3;
  std::vector<std::string> names;
  for (int i = 1; i < kEngines; i += kDomains)
    names.push_back("drafts-" + std::to_string(i));
  names.emplace_back("orders-1");
  return names;
}

time_point bench_system::RootWritten() {
  return TimeOf(system_.Counters("kv", "?written=" + std::string(kRootKey)), "written_us");
}

std::optional<time_point> bench_system::SetDomain(const std::string& command, bool offer) {
  std::vector<std::string> arguments{command, "--kv=" + ToString(system_.AddressOf("kv")),
                                     "--author=bench", "--team=platform", kDomain};
  if (offer)
    arguments.push_back("--hosts=" + ToString(system_.AddressOf("hosts")));
  std::string output;
  if (system_.RunTool(arguments, &output) != 0) {
    std::cerr << output << "\n";
    return std::nullopt;
  }
  return RootWritten();
}

std::optional<time_point> bench_system::Edit(
    const std::function<void(boost::json::object& document)>& edit) {
  std::string output;
  const std::string kv = "--kv=" + ToString(system_.AddressOf("kv"));
  if (system_.RunTool({"export", kv}, &output) != 0) {
    std::cerr << output << "\n";
    return std::nullopt;
  }
  auto document = ParseJson(output);
  if (!document || !document.value().is_object())
    return std::nullopt;
  edit(document.value().get_object());
  const std::string path = system_.folder() + "/edited.json";
  std::ofstream(path) << boost::json::serialize(document.value());
  if (system_.RunTool({"apply", kv, "--hosts=" + ToString(system_.AddressOf("hosts")),
                       "--author=bench", "--force", path},
                      &output) != 0) {
    std::cerr << output << "\n";
    return std::nullopt;
  }
  return RootWritten();
}

time_point bench_system::SetListing(const std::string& host, host_listing listing) {
  system_.SetListing(host, listing);
  return TimeOf(system_.Counters("hosts"), "visible_us");
}

void bench_system::LoseDomain() {
  std::vector<std::string> lost;
  for (const std::string& upstream : UpstreamsOfDomain()) {
    lost.push_back("agent-" + upstream);
    // A plain service that is killed forgets what it has run, and the orders could not be checked.
    if (IsEngine(upstream))
      lost.push_back(upstream);
  }
  for (const std::string& process : lost)
    system_.Process(process).Signal(SIGKILL);
  for (const std::string& process : lost)
    system_.Process(process).Kill();
}

void bench_system::RestartDomain() {
  for (const std::string& upstream : UpstreamsOfDomain()) {
    if (IsEngine(upstream))
      system_.Restart(upstream);
    system_.Restart("agent-" + upstream);
  }
}

time_point bench_system::LastStart(const std::vector<std::string>& upstreams) {
  time_point last;
  for (const std::string& upstream : upstreams)
    last = std::max(last, TimeOf(system_.Counters(upstream), "last_start_us"));
  return last;
}

std::int64_t bench_system::Crashes() {
  std::int64_t crashes = 0;
  for (int i = 0; i < kEngines; ++i) {
    const boost::json::value counters = system_.Counters("drafts-" + std::to_string(i));
    if (counters.is_object())
      crashes += counters.get_object().at("crashes").to_number<std::int64_t>();
  }
  return crashes;
}

}  // namespace quincebank
