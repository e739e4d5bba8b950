#include "quincebank/testing/deployment.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "deployment_layout.h"
#include "quincebank/base/json_reader.h"

namespace quincebank {
namespace {

namespace json = boost::json;

// Source of the connections of tests and of the operators' tool.
constexpr const char* kToolSource = "127.0.0.1";
constexpr std::uint16_t kPort = 8000;
constexpr milliseconds kPollInterval{20};
constexpr milliseconds kToolTimeout{60'000};

// Each process of the machine has loopback addresses of its own, so that deployments of tests that
// run at the same time never meet.
std::string NetworkOfThisProcess() {
  constexpr int kBlock = 250;
  const int pid = ::getpid();
  return "127." + std::to_string(1 + pid / kBlock % kBlock) + "." + std::to_string(pid % kBlock);
}

/// Far above what a start takes on a busy machine.
constexpr milliseconds kStartLimit{60'000};

/// Whether the entry that answered `/readyz` has heard from all upstreams and may use them.
bool AllUsable(const std::string& ready) {
  const auto parsed = ParseJson(ready);
  const json::object* const object = parsed ? parsed.value().if_object() : nullptr;
  const json::value* const services = object ? object->if_contains("services") : nullptr;
  if (services == nullptr || !services->is_object())
    return false;
  for (const json::key_value_pair& service : services->get_object()) {
    const json::object& counts = service.value().as_object();
    if (counts.at("usable") != counts.at("upstreams") || counts.at("unheard") != 0)
      return false;
  }
  return true;
}

}  // namespace

deployment::deployment(const deployment_plan& plan)
    : plan_(plan), network_(NetworkOfThisProcess()) {
  std::string pattern = (std::filesystem::temp_directory_path() / "quincebank-XXXXXX").string();
  folder_ = ::mkdtemp(pattern.data());
  for (const std::string& name : plan_.unlisted)
    listings_[name] = host_listing::kAbsent;
  Plan();
}

deployment::~deployment() {
  for (const auto& [name, process] : running_)
    process->Signal(SIGKILL);
  running_.clear();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string deployment::DomainOf(int index) const {
  const auto position = static_cast<std::size_t>(index);
  return plan_.two_regions ? kTwoRegions.at(position % kTwoRegions.size()).name
                           : kOneRegion.at(position % kOneRegion.size()).name;
}

void deployment::Plan() {
  AddProcess("kv", 0, {QUINCEBANK_STANDIN_PROGRAM, "--role=kv"});
  AddProcess("hosts", 0, {QUINCEBANK_STANDIN_PROGRAM, "--role=hosts"});
  if (plan_.two_regions) {
    AddRelay("kv", 0);
    AddRelay("hosts", 0);
  }
  for (int i = 0; i < plan_.entries; ++i) {
    AddNode(QUINCEBANK_ENTRY_PROGRAM, "entry-" + std::to_string(i), i,
            R"("lookup_ttl_ms": )" + std::to_string(plan_.lookup_ttl_ms) +
                R"(, "traffic_threads": )" + std::to_string(plan_.traffic_threads));
  }
  for (int i = 0; i < plan_.drafts; ++i)
    AddUpstream("drafts", i, plan_.engine_options);
  for (int i = 0; i < plan_.orders; ++i)
    AddUpstream("orders", i, plan_.orders_options);
  if (plan_.ranks > 0)
    AddRanks();
}

void deployment::AddProcess(std::string name, int domain, std::vector<std::string> arguments) {
  const int number = static_cast<int>(processes_.size()) + 1;
  process_plan process{std::move(name),
                       DomainOf(domain),
                       {network_ + "." + std::to_string(number), kPort},
                       std::move(arguments)};
  if (process.arguments.front() == QUINCEBANK_STANDIN_PROGRAM) {
    process.arguments.push_back("--listen=" + ToString(process.address));
    process.arguments.push_back("--seed=" + std::to_string(number));
  }
  processes_.push_back(std::move(process));
}

void deployment::AddNode(const std::string& program,
                         const std::string& name,
                         int domain,
                         std::string extra) {
  AddProcess(name, domain, {program, "--settings=" + folder_ + "/" + name + ".json"});
  const process_plan& process = processes_.back();
  // Relays tell the callers apart by the address that they come from.
  if (plan_.two_regions)
    extra += R"(, "source": ")" + process.address.address + "\"";
  WriteFile(name + ".json",
            "// Settings of " + name + ".\n{\n  \"host\": \"" + name + "\", \"region\": \"" +
                RegionOf(name) + "\", \"failure_domain\": \"" + process.failure_domain +
                "\",\n  \"listen\": \"" + ToString(process.address) +
                "\",\n  \"key_value\": {\"address\": \"" + ToString(ReachedAt("kv")) +
                "\"},\n  \"host_list\": {\"address\": \"" + ToString(ReachedAt("hosts")) +
                "\", \"interval_ms\": 200},\n  " + std::move(extra) + "\n}\n");
  if (plan_.two_regions)
    AddRelay(name, domain);
}

void deployment::AddRelay(const std::string& name, int domain) {
  AddProcess("relay-" + name, domain,
             {QUINCEBANK_STANDIN_PROGRAM, "--role=relay", "--target=" + ToString(AddressOf(name))});
}

void deployment::AddUpstream(const std::string& kind, int index, std::vector<std::string> options) {
  const std::string name = kind + "-" + std::to_string(index);
  std::vector<std::string> arguments{QUINCEBANK_STANDIN_PROGRAM,
                                     kind == "drafts" ? "--role=engine" : "--role=orders",
                                     "--cold-limit=" + std::to_string(plan_.cold_limit),
                                     "--full-limit=" + std::to_string(plan_.full_limit)};
  arguments.insert(arguments.end(), options.begin(), options.end());
  AddProcess(name, index, std::move(arguments));
  AddNode(QUINCEBANK_AGENT_PROGRAM, "agent-" + name, index,
          R"("upstream": ")" + name + R"(", "shutdown_linger_ms": )" +
              std::to_string(plan_.shutdown_linger_ms));
  if (plan_.relays && !plan_.two_regions)
    AddRelay("agent-" + name, index);
}

void deployment::AddRanks() {
  std::vector<std::string> arguments{
      QUINCEBANK_STANDIN_PROGRAM, "--role=rank-group", "--ranks=" + std::to_string(plan_.ranks),
      "--layers=" + std::to_string(kGroupLayers), "--experts=" + std::to_string(kGroupExperts)};
  arguments.insert(arguments.end(), plan_.rank_options.begin(), plan_.rank_options.end());
  AddProcess("ranks", 0, std::move(arguments));
  for (int i = 0; i < plan_.ranks; ++i) {
    const std::string name = "rank-" + std::to_string(i);
    AddNode(QUINCEBANK_AGENT_PROGRAM, "agent-" + name, i,
            R"("upstream": ")" + name + R"(", "shutdown_linger_ms": )" +
                std::to_string(plan_.shutdown_linger_ms));
  }
}

void deployment::WriteFile(const std::string& name, const std::string& text) const {
  std::ofstream(folder_ + "/" + name) << text;
}

void deployment::StartProcess(const process_plan& process) {
  running_[process.name] =
      std::make_unique<child_process>(process.arguments, folder_ + "/" + process.name + ".log");
}

result<void> deployment::Start() {
  for (const process_plan& process : processes_)
    StartProcess(process);
  for (const char* platform : {"kv", "hosts"}) {
    const bool up = WaitUntil([&] {
      return Call(platform, {"GET", "/control", {}, {}}).has_value();
    });
    if (!up)
      return MakeError(error_code::kUnavailable, std::string(platform) + " does not answer");
  }
  (void)Call("hosts", {"PUT", "/hosts", {}, HostList()});
  WriteFile("document.json", Document());
  std::string output;
  if (RunTool(
          {"apply", "--kv=" + ToString(AddressOf("kv")), "--hosts=" + ToString(AddressOf("hosts")),
           "--author=setup", "--force", folder_ + "/document.json"},
          &output) != 0) {
    return MakeError(error_code::kInternal, "apply failed: " + output);
  }
  if (!WaitUntil([this] { return EntriesRoute(); }, kStartLimit))
    return MakeError(error_code::kTimeout, "the entries do not route");
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool deployment::EntriesRoute() {
  for (const process_plan& process : processes_) {
    if (!IsNode(process.name))
      continue;
    const auto ready = Call(process.name, {"GET", "/readyz", {}, {}});
    if (!ready || ready.value().status != 200)
      return false;
    if (process.name.starts_with("entry-") && !AllUsable(ready.value().body))
      return false;
  }
  return true;
}

endpoint deployment::AddressOf(const std::string& process) const {
  for (const process_plan& known : processes_) {
    if (known.name == process)
      return known.address;
  }
  return {};
}

bool deployment::HasRelay(const std::string& process) const {
  return std::any_of(processes_.begin(), processes_.end(),
                     [&](const process_plan& known) { return known.name == "relay-" + process; });
}

endpoint deployment::ReachedAt(const std::string& process) const {
  return AddressOf((HasRelay(process) ? "relay-" : "") + process);
}

std::string deployment::RegionOf(const std::string& process) const {
  for (const process_plan& known : processes_) {
    if (known.name == process)
      return known.failure_domain.starts_with(kWest) ? kWest : kEast;
  }
  return {};
}

std::vector<std::string> deployment::nodes(const std::string& region) const {
  std::vector<std::string> names;
  for (const process_plan& process : processes_) {
    if (IsNode(process.name) && (region.empty() || RegionOf(process.name) == region))
      names.push_back(process.name);
  }
  return names;
}

void deployment::FreezeHostList(bool frozen) {
  // The longest lag that the stand-in takes; no test runs for that long.
  Control("hosts", frozen ? R"({"lag_ms": 600000})" : R"({"lag_ms": 0})");
}

void deployment::Cut(const std::vector<std::string>& callers,
                     const std::vector<std::string>& targets) {
  for (const std::string& target : targets) {
    json::array& sources = cuts_[target];
    for (const std::string& caller : callers)
      sources.emplace_back(caller == "tool" ? kToolSource : AddressOf(caller).address);
    Control("relay-" + target, json::serialize(json::object{{"partition_from", sources}}));
  }
}

void deployment::CutRegions() {
  std::vector<std::string> east = nodes(kEast);
  const std::vector<std::string> west = nodes(kWest);
  east.emplace_back("tool");
  Cut(east, west);
  east.back() = "kv";
  east.emplace_back("hosts");
  Cut(west, east);
}

void deployment::Heal() {
  for (const auto& [target, sources] : cuts_)
    Control("relay-" + target, R"({"partition_from": []})");
  cuts_.clear();
}

child_process& deployment::Process(const std::string& name) {
  return *running_.at(name);
}

void deployment::Restart(const std::string& name) {
  running_.at(name)->Kill();
  for (const process_plan& process : processes_) {
    if (process.name == name)
      StartProcess(process);
  }
}

void deployment::SetLeaving(const std::string& process) {
  SetListing(process, host_listing::kLeaving);
}

void deployment::SetListing(const std::string& process, host_listing listing) {
  listings_[process] = listing;
  (void)Call("hosts", {"PUT", "/hosts", {}, HostList()});
}

int deployment::RunTool(const std::vector<std::string>& arguments, std::string* tool_output) {
  std::vector<std::string> command{QUINCEBANK_TOOL_PROGRAM};
  command.insert(command.end(), arguments.begin(), arguments.end());
  const std::string log = folder_ + "/tool.log";
  std::filesystem::remove(log);
  child_process tool(command, log);
  const auto exit_code = tool.WaitFor(kToolTimeout);
  if (tool_output != nullptr) {
    std::ostringstream text;
    text << std::ifstream(log).rdbuf();
    *tool_output = text.str();
  }
  return exit_code.value_or(-1);
}

result<http_response> deployment::Call(const std::string& process,
                                       const http_request& request,
                                       milliseconds timeout) {
  result<http_response> answer = MakeError(error_code::kInternal, "no answer");
  http_call call{AddressOf(process), request};
  call.response_timeout = timeout;
  call.idle_timeout = timeout;
  client_thread_.RunAndWait([&] {
    http_client client(client_thread_);
    answer = client.Call(call);
  });
  return answer;
}

void deployment::Control(const std::string& process, const std::string& switches) {
  endpoint peer = AddressOf(process);
  if (process.starts_with("relay-"))
    ++peer.port;
  http_call call{peer, {"PUT", "/control", {}, switches}};
  client_thread_.RunAndWait([&] { (void)http_client(client_thread_).Call(call); });
}

json::value deployment::Counters(const std::string& process, const std::string& query) {
  const auto answer = Call(process, {"GET", "/control" + query, {}, {}});
  if (!answer)
    return {};
  const auto parsed = ParseJson(answer.value().body);
  return parsed ? parsed.value() : json::value();
}

bool deployment::WaitUntil(const std::function<bool()>& check, milliseconds duration) {
  const time_point until = std::chrono::steady_clock::now() + duration;
  while (!check()) {
    if (std::chrono::steady_clock::now() >= until)
      return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

std::vector<std::string> deployment::entries() const {
  std::vector<std::string> names;
  for (const process_plan& process : processes_) {
    if (process.name.starts_with("entry-"))
      names.push_back(process.name);
  }
  return names;
}

}  // namespace quincebank
