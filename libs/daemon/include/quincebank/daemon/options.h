#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"

namespace quincebank {

/// Exit codes of all programs.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;  ///< The work failed.
inline constexpr int kExitUsage = 2;    ///< Wrong command line, settings or document.

/// \brief One long option of a program.
struct option_spec {
  std::string name;      ///< Without the leading dashes.
  std::string argument;  ///< Name of its argument in the help; empty if it takes none.
  std::string help;
  /// Stores the argument. An error is reported with the option's name.
  std::function<result<void>(const std::string&)> store;
};

/// \brief Reads the command line with `getopt_long`; adds `--help` and `--version`.
///
/// \param usage  one line that shows the arguments after the options.
/// \param arguments  takes the arguments that are not options; null if there must be none.
/// \returns An exit code if the program must end now, after it has printed help or an error.
[[nodiscard]] std::optional<int> ParseOptions(int argc,
                                              char** argv,
                                              std::string_view usage,
                                              const std::vector<option_spec>& options,
                                              std::vector<std::string>* arguments);

/// \brief Option whose argument is stored as it is.
[[nodiscard]] option_spec TextOption(std::string name,
                                     std::string argument,
                                     std::string help,
                                     std::string& target);
/// \brief Option whose argument is a whole number in a range.
[[nodiscard]] option_spec NumberOption(std::string name,
                                       std::string help,
                                       long long min,
                                       long long max,
                                       long long& target);
[[nodiscard]] option_spec FlagOption(std::string name, std::string help, bool& target);

}  // namespace quincebank
