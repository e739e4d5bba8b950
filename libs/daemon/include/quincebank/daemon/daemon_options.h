#pragma once

#include <optional>
#include <string>

namespace quincebank {

/// \brief Command line that all daemons share.
struct daemon_options {
  std::string settings;  ///< Path of the settings file.
  bool check = false;    ///< Only checks the settings.
  bool verbose = false;
};

/// \brief Reads the command line.
/// \returns An exit code if the program must end now.
[[nodiscard]] std::optional<int> ParseDaemonOptions(int argc, char** argv, daemon_options& options);

}  // namespace quincebank
