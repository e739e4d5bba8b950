#pragma once

#include <functional>
#include <vector>

#include "quincebank/cli/tool.h"

namespace quincebank {

[[nodiscard]] result<void> RunCheck(tool_context& context, const tool_options& options);
[[nodiscard]] result<void> RunApply(tool_context& context, const tool_options& options);
[[nodiscard]] result<void> RunDrain(tool_context& context, const tool_options& options);
[[nodiscard]] result<void> RunReturn(tool_context& context, const tool_options& options);
[[nodiscard]] result<void> RunExport(tool_context& context, const tool_options& options);
[[nodiscard]] result<void> RunStatus(tool_context& context, const tool_options& options);
[[nodiscard]] result<void> RunLookup(tool_context& context, const tool_options& options);
[[nodiscard]] result<void> RunExplain(tool_context& context, const tool_options& options);
[[nodiscard]] result<void> RunBurn(tool_context& context, const tool_options& options);
[[nodiscard]] result<void> RunReplay(tool_context& context, const tool_options& options);

/// \brief Returns a required option or an error that names it.
[[nodiscard]] result<endpoint> Required(const std::optional<endpoint>& option,
                                        std::string_view name);
/// \brief Returns the only argument or an error that names it.
[[nodiscard]] result<std::string> OnlyArgument(const tool_options& options, std::string_view name);
/// \brief Reads the sections in force from the key-value service, with their root as the base.
[[nodiscard]] result<config_document> ReadInForce(tool_context& context,
                                                  const tool_options& options);
/// \brief `GET target` of a process; any status but 200 is an error.
[[nodiscard]] result<boost::json::value> GetJson(tool_context& context,
                                                 const endpoint& peer,
                                                 const std::string& target);
/// \brief Reads the host list that the options name.
[[nodiscard]] result<std::vector<host_entry>> ReadHosts(tool_context& context,
                                                        const tool_options& options);
/// \brief Calls `task` for each index at once, at most `parallel` at a time; returns when all are
/// done.
void ForEachParallel(std::size_t count,
                     std::size_t parallel,
                     const std::function<void(std::size_t)>& task);

}  // namespace quincebank
