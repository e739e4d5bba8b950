#include "quincebank/daemon/daemon_options.h"

#include <iostream>

#include "quincebank/daemon/options.h"

namespace quincebank {

std::optional<int> ParseDaemonOptions(int argc, char** argv, daemon_options& options) {
  const auto exit_code = ParseOptions(
      argc, argv, "--settings=FILE [--check] [--verbose]",
      {TextOption("settings", "FILE", "settings, JSON with comments", options.settings),
       FlagOption("check", "checks the settings and ends", options.check),
       FlagOption("verbose", "also logs debug lines", options.verbose)},
      nullptr);
  if (exit_code)
    return exit_code;
  if (options.settings.empty()) {
    std::cerr << argv[0] << ": --settings is missing; try --help\n";
    return kExitUsage;
  }
  return std::nullopt;
}

}  // namespace quincebank
