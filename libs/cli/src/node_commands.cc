#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <optional>
#include <ostream>
#include <utility>

#include "commands.h"
#include "quincebank/admission/hedge_record.h"
#include "quincebank/base/json_reader.h"
#include "quincebank/base/record.h"
#include "quincebank/messages/agent_load.h"
#include "quincebank/routing/replay.h"

namespace quincebank {
namespace {

constexpr milliseconds kCallTimeout{2'000};
constexpr std::size_t kParallelCalls = 64;

std::string Text(const boost::json::value& object, std::string_view key) {
  const boost::json::value* const value =
      object.is_object() ? object.get_object().if_contains(key) : nullptr;
  if (value == nullptr)
    return "-";
  return value->is_string() ? std::string(value->get_string()) : boost::json::serialize(*value);
}

void PrintReplay(std::ostream& out, const decision_record& record, std::string_view policy) {
  const auto replay = Replay(record, policy);
  if (!replay) {
    out << "  can't be recomputed: " << Describe(replay.error()) << "\n";
    return;
  }
  out << "  recomputed by " << replay.value().policy << ": "
      << (replay.value().same ? "same choice"
                              : "another choice: " + boost::json::serialize(replay.value().outcome))
      << "\n";
}

void PrintHedgeReplay(std::ostream& out, const decision_record& record) {
  const auto replay = ReplayHedge(record);
  if (!replay) {
    out << "  can't be recomputed: " << Describe(replay.error()) << "\n";
    return;
  }
  out << "  recomputed: "
      << (replay.value() == record.outcome
              ? "same decision"
              : "another decision: " + boost::json::serialize(replay.value()))
      << "\n";
}

/// Outcome of computing a record again; nothing for a kind that is not recomputed.
struct recomputed {
  boost::json::object outcome;
  bool same = false;
};

result<std::optional<recomputed>> Recompute(const decision_record& record,
                                            std::string_view policy) {
  std::optional<recomputed> found;
  if (record.kind == kRouteRecordKind) {
    BOOST_OUTCOME_TRY(const route_replay replay, Replay(record, policy));
    found = recomputed{replay.outcome, replay.same};
  } else if (record.kind == kHedgeRecordKind) {
    BOOST_OUTCOME_TRY(const boost::json::object outcome, ReplayHedge(record));
    found = recomputed{outcome, outcome == record.outcome};
  }
  return found;
}

}  // namespace

result<boost::json::value> GetJson(tool_context& context,
                                   const endpoint& peer,
                                   const std::string& target) {
  http_call call{peer, {"GET", target, {}, {}}};
  call.response_timeout = kCallTimeout;
  BOOST_OUTCOME_TRY(const http_response response, context.http.Call(call));
  if (response.status != 200) {
    return MakeError(
        error_code::kUnavailable,
        ToString(peer) + " answered " + std::to_string(response.status) + ": " + response.body);
  }
  return ParseJson(response.body);
}

result<void> RunStatus(tool_context& context, const tool_options& options) {
  BOOST_OUTCOME_TRY(const std::vector<host_entry> hosts, ReadHosts(context, options));
  std::vector<std::string> lines(hosts.size());
  ForEachParallel(hosts.size(), kParallelCalls, [&](std::size_t i) {
    const host_entry& host = hosts[i];
    std::string line = host.host + "  " + host.role + "  " + host.failure_domain + "  " +
                       ToString(host.process) + (host.leaving ? "  leaving" : "");
    const auto config = context.rpc.Call(host.process, "config.status", {}, kCallTimeout);
    if (!config) {
      lines[i] = line + "  unreachable: " + config.error().message;
      return;
    }
    line += "  config " + Text(config.value(), "version") + " " + Text(config.value(), "state");
    if (host.role != "entry") {
      const auto load = context.rpc.Call(host.process, "agent.status", {}, kCallTimeout);
      if (load) {
        line += "  in flight " + Text(load.value(), "in_flight") + "  queued " +
                Text(load.value(), "queued") + "  limit " + Text(load.value(), "limit") +
                "  cold " + Text(load.value(), "cold") + "  draining " +
                Text(load.value(), "draining");
      }
    }
    lines[i] = std::move(line);
  });
  for (const std::string& line : lines)
    context.out << line << "\n";
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> RunLookup(tool_context& context, const tool_options& options) {
  BOOST_OUTCOME_TRY(const std::string service, OnlyArgument(options, "SERVICE"));
  BOOST_OUTCOME_TRY(const endpoint entry, Required(options.entry, "entry"));
  BOOST_OUTCOME_TRY(const boost::json::value answer,
                    GetJson(context, entry, "/lookup?service=" + service));
  context.out << boost::json::serialize(answer) << "\n";
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> RunExplain(tool_context& context, const tool_options& options) {
  BOOST_OUTCOME_TRY(const std::string request, OnlyArgument(options, "REQUEST"));
  BOOST_OUTCOME_TRY(const endpoint entry, Required(options.entry, "entry"));
  BOOST_OUTCOME_TRY(const boost::json::value answer,
                    GetJson(context, entry, "/records?request=" + request));
  const boost::json::value* const list =
      answer.is_object() ? answer.get_object().if_contains("records") : nullptr;
  if (list == nullptr || !list->is_array() || list->get_array().empty()) {
    return MakeError(error_code::kNotFound,
                     ToString(entry) + " has no record of request " + request);
  }
  for (const boost::json::value& element : list->get_array()) {
    if (!element.is_object())
      continue;
    const decision_record record = RecordFromJson(element.get_object());
    if (options.json) {
      context.out << boost::json::serialize(element) << "\n";
      continue;
    }
    context.out << record.sequence << " " << record.kind << ": "
                << boost::json::serialize(record.outcome) << "\n";
    if (record.kind == kRouteRecordKind)
      PrintReplay(context.out, record, {});
    if (record.kind == kHedgeRecordKind)
      PrintHedgeReplay(context.out, record);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> RunReplay(tool_context& context, const tool_options& options) {
  BOOST_OUTCOME_TRY(const std::string path, OnlyArgument(options, "FILE"));
  std::ifstream file(path);
  if (!file)
    return MakeError(error_code::kNotFound, "can't read " + path);
  std::size_t same = 0;
  std::size_t other = 0;
  std::size_t line_number = 0;
  for (std::string line; std::getline(file, line);) {
    ++line_number;
    if (line.empty())
      continue;
    const auto parsed = ParseJson(line);
    if (!parsed || !parsed.value().is_object()) {
      return MakeError(error_code::kInvalidArgument,
                       path + ":" + std::to_string(line_number) + ": not a record");
    }
    const decision_record record = RecordFromJson(parsed.value().get_object());
    const auto replay = Recompute(record, options.policy);
    if (!replay) {
      return MakeError(error_code::kInvalidArgument,
                       path + ":" + std::to_string(line_number) + ": " + Describe(replay.error()));
    }
    if (!replay.value())
      continue;
    const recomputed& again = *replay.value();
    ++(again.same ? same : other);
    if (!again.same) {
      context.out << line_number << " " << record.request << ": "
                  << boost::json::serialize(again.outcome) << "\n";
    }
  }
  context.out << same << " decisions the same, " << other << " different\n";
  if (other > 0 && options.policy.empty())
    return MakeError(error_code::kConflict, "the record is not reproduced");
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace quincebank
