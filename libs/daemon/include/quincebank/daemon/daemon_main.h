#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"

namespace quincebank {

/// \brief The two parts of a daemon that differ from program to program.
struct daemon_program {
  /// Reads and checks the text of the settings file. Returns what of it cannot be used, or an error
  /// if the program cannot run with it. A check of the file fails in both cases.
  std::function<result<std::vector<error>>(std::string_view text)> parse;
  /// Runs until a signal to shut down. Returns the exit code.
  std::function<int()> run;
  /// Settings file where the command line names none; empty if it must name one.
  std::string default_settings;
};

/// \brief `main` of a daemon: reads the command line and the settings, prepares logging and
/// signals, and runs the program unless only a check was asked for.
[[nodiscard]] int DaemonMain(int argc, char** argv, const daemon_program& program);

}  // namespace quincebank
