#include "quincebank/daemon/options.h"

#include <getopt.h>

#include <charconv>
#include <cstdio>
#include <iostream>
#include <utility>

namespace quincebank {
namespace {

constexpr int kFirstCode = 256;

void PrintHelp(std::string_view program,
               std::string_view usage,
               const std::vector<option_spec>& options) {
  std::cout << "usage: " << program << " " << usage << "\n\noptions:\n";
  for (const option_spec& option : options) {
    std::string left = "  --" + option.name;
    if (!option.argument.empty())
      left += "=" + option.argument;
    constexpr std::size_t kColumn = 30;
    left.resize(std::max(left.size() + 2, kColumn), ' ');
    std::cout << left << option.help << "\n";
  }
  std::cout << "  --help                      shows this text\n"
               "  --version                   shows the version\n";
}

}  // namespace

std::optional<int> ParseOptions(int argc,
                                char** argv,
                                std::string_view usage,
                                const std::vector<option_spec>& options,
                                std::vector<std::string>* arguments) {
  std::vector<option> table;
  table.reserve(options.size() + 3);
  int code = kFirstCode;
  for (const option_spec& spec : options) {
    table.push_back({spec.name.c_str(), spec.argument.empty() ? no_argument : required_argument,
                     nullptr, code++});
  }
  table.push_back({"help", no_argument, nullptr, 'h'});
  table.push_back({"version", no_argument, nullptr, 'v'});
  table.push_back({nullptr, 0, nullptr, 0});
  // NOLINTNEXTLINE(concurrency-mt-unsafe): no other thread runs yet.
  for (int chosen = 0; (chosen = getopt_long(argc, argv, "", table.data(), nullptr)) != -1;) {
    if (chosen == 'h') {
      PrintHelp(argv[0], usage, options);
      return kExitOk;
    }
    if (chosen == 'v') {
      std::cout << "quincebank " << QUINCEBANK_VERSION << "\n";
      return kExitOk;
    }
    if (chosen == '?') {
      std::cerr << "try " << argv[0] << " --help\n";
      return kExitUsage;
    }
    const option_spec& spec = options.at(static_cast<std::size_t>(chosen - kFirstCode));
    const auto stored = spec.store(optarg == nullptr ? "" : optarg);
    if (!stored) {
      std::cerr << argv[0] << ": --" << spec.name << ": " << stored.error().message << "\n";
      return kExitUsage;
    }
  }
  for (int i = optind; i < argc; ++i) {
    if (arguments == nullptr) {
      std::cerr << argv[0] << ": unexpected argument '" << argv[i] << "'\n";
      return kExitUsage;
    }
    arguments->emplace_back(argv[i]);
  }
  return std::nullopt;
}

option_spec TextOption(std::string name,
                       std::string argument,
                       std::string help,
                       std::string& target) {
  return {std::move(name), std::move(argument), std::move(help),
          [&target](const std::string& text) -> result<void> {
            target = text;
            return BOOST_OUTCOME_V2_NAMESPACE::success();
          }};
}

option_spec NumberOption(std::string name,
                         std::string help,
                         long long min,
                         long long max,
                         long long& target) {
  return {std::move(name), "N", std::move(help),
          [&target, min, max](const std::string& text) -> result<void> {
            long long number = 0;
            const char* const last = text.data() + text.size();
            const auto [end, ec] = std::from_chars(text.data(), last, number);
            if (ec != std::errc() || end != last || number < min || number > max) {
              return MakeError(error_code::kInvalidArgument,
                               "expected a whole number from " + std::to_string(min) + " to " +
                                   std::to_string(max) + ", not '" + text + "'");
            }
            target = number;
            return BOOST_OUTCOME_V2_NAMESPACE::success();
          }};
}

option_spec FlagOption(std::string name, std::string help, bool& target) {
  return {std::move(name), "", std::move(help), [&target](const std::string&) -> result<void> {
            target = true;
            return BOOST_OUTCOME_V2_NAMESPACE::success();
          }};
}

}  // namespace quincebank
