#include "quincebank/cli/tool.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <iostream>
#include <utility>

#include "commands.h"
#include "quincebank/base/log.h"
#include "quincebank/daemon/options.h"
#include "quincebank/net/fiber_thread.h"

namespace quincebank {
namespace {

option_spec AddressOption(std::string name, std::string help, std::optional<endpoint>& target) {
  return {std::move(name), "IP:PORT", std::move(help),
          [&target](const std::string& text) -> result<void> {
            BOOST_OUTCOME_TRY(target, ParseEndpoint(text));
            return BOOST_OUTCOME_V2_NAMESPACE::success();
          }};
}

std::string Usage() {
  std::string text = "COMMAND [options] [arguments]\n\ncommands:\n";
  for (const tool_command& command : ToolCommands()) {
    std::string left = "  " + std::string(command.name) + " " + std::string(command.usage);
    constexpr std::size_t kColumn = 56;
    left.resize(std::max(left.size() + 2, kColumn), ' ');
    text += left + std::string(command.help) + "\n";
  }
  return text;
}

}  // namespace

const std::vector<tool_command>& ToolCommands() {
  static const std::vector<tool_command> kCommands{
      {"check", "FILE", "checks a configuration document", RunCheck},
      {"apply", "--kv --author [--team --hosts --force --partial --replace] FILE",
       "puts a document in force or says why not", RunApply},
      {"drain", "--kv --author [--team --hosts] DOMAIN", "takes a failure domain out of service",
       RunDrain},
      {"return", "--kv --author [--team --hosts] DOMAIN", "brings a failure domain back",
       RunReturn},
      {"export", "--kv", "prints the document in force", RunExport},
      {"status", "--hosts", "shows the state of every process", RunStatus},
      {"burn", "--hosts --kv [--json]", "reports service-level burn over all entries", RunBurn},
      {"lookup", "--entry SERVICE", "shows the addresses that callers get", RunLookup},
      {"explain", "--entry REQUEST", "shows and recomputes the decisions of a request", RunExplain},
      {"replay", "[--policy] FILE", "recomputes recorded decisions, a record a line", RunReplay},
  };
  return kCommands;
}

result<endpoint> Required(const std::optional<endpoint>& option, std::string_view name) {
  if (!option)
    return MakeError(error_code::kInvalidArgument, "--" + std::string(name) + " is missing");
  return *option;
}

result<std::string> OnlyArgument(const tool_options& options, std::string_view name) {
  if (options.arguments.size() != 1)
    return MakeError(error_code::kInvalidArgument, "expected one argument: " + std::string(name));
  return options.arguments.front();
}

result<std::vector<host_entry>> ReadHosts(tool_context& context, const tool_options& options) {
  constexpr milliseconds kTimeout{2'000};
  BOOST_OUTCOME_TRY(const endpoint service, Required(options.host_list, "hosts"));
  BOOST_OUTCOME_TRY(
      auto hosts,
      MakeHttpHostList(context.http, service, options.host_list_path, kTimeout)->ReadIfChanged());
  // A fresh client has no entity tag, so the service has sent the list.
  return std::move(hosts).value_or(std::vector<host_entry>());
}

void ForEachParallel(std::size_t count,
                     std::size_t parallel,
                     const std::function<void(std::size_t)>& task) {
  std::size_t next = 0;
  std::vector<boost::fibers::fiber> workers;
  for (std::size_t i = 0; i < std::min(count, parallel); ++i) {
    workers.emplace_back([&] {
      while (next < count)
        task(next++);
    });
  }
  for (boost::fibers::fiber& worker : workers)
    worker.join();
}

int RunTool(int argc, char** argv) {
  tool_options options;
  const auto exit_code = ParseOptions(
      argc, argv, Usage(),
      {AddressOption("kv", "key-value service", options.key_value),
       AddressOption("hosts", "host list", options.host_list),
       TextOption("hosts-path", "PATH", "path of the host list", options.host_list_path),
       AddressOption("entry", "an entry", options.entry),
       TextOption("author", "NAME", "who makes the change", options.author),
       TextOption("team", "NAME", "team that must own the sections (default: the author)",
                  options.team),
       TextOption("policy", "NAME", "replay: another routing policy", options.policy),
       FlagOption("force", "apply: also changes sections of other owners", options.force),
       FlagOption("partial", "apply: keeps sections that the document lacks", options.partial),
       FlagOption("replace", "apply: overwrites what is in force if the document names no base",
                  options.replace),
       FlagOption("json", "prints JSON", options.json)},
      &options.arguments);
  if (exit_code)
    return *exit_code;
  if (options.arguments.empty()) {
    std::cerr << argv[0] << ": no command; try --help\n";
    return kExitUsage;
  }
  const std::string name = options.arguments.front();
  options.arguments.erase(options.arguments.begin());
  const auto& commands = ToolCommands();
  const auto command = std::find_if(commands.begin(), commands.end(),
                                    [&](const tool_command& known) { return known.name == name; });
  if (command == commands.end()) {
    std::cerr << argv[0] << ": unknown command '" << name << "'; try --help\n";
    return kExitUsage;
  }
  fiber_thread thread("tool");
  result<void> done = BOOST_OUTCOME_V2_NAMESPACE::success();
  thread.RunAndWait([&] {
    tool_context context(thread, std::cout);
    done = command->run(context, options);
  });
  if (done)
    return kExitOk;
  std::cerr << argv[0] << " " << name << ": " << Describe(done.error()) << "\n";
  return done.error().code == error_code::kInvalidArgument ? kExitUsage : kExitFailure;
}

}  // namespace quincebank
