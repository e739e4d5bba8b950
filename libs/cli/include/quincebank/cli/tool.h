#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/config/plan.h"
#include "quincebank/net/endpoint.h"
#include "quincebank/net/http_client.h"
#include "quincebank/platform/host_list.h"
#include "quincebank/rpc/rpc_client.h"

namespace quincebank {

/// \brief Command line of the operators' tool after its options were read.
struct tool_options {
  std::optional<endpoint> key_value;
  std::optional<endpoint> host_list;
  std::string host_list_path = "/hosts";
  std::optional<endpoint> entry;
  std::string author;
  std::string team;
  std::string policy;
  bool force = false;
  bool partial = false;
  bool replace = false;
  bool json = false;
  std::vector<std::string> arguments;  ///< After the command's name.
};

/// \brief What the commands use. Lives on the tool's fiber thread.
struct tool_context {
  tool_context(fiber_thread& thread, std::ostream& text) : http(thread), rpc(http), out(text) {}

  http_client http;
  rpc_client rpc;
  std::ostream& out;
};

/// \brief One command of `quincebank`.
struct tool_command {
  std::string_view name;
  std::string_view usage;
  std::string_view help;
  result<void> (*run)(tool_context& context, const tool_options& options);
};

[[nodiscard]] const std::vector<tool_command>& ToolCommands();

/// \brief Runs the tool: reads the command line, runs the command, prints errors.
/// \returns The exit code: 0, 1 if the command failed, 2 if it was used wrongly or the document is
///          wrong.
[[nodiscard]] int RunTool(int argc, char** argv);

}  // namespace quincebank
