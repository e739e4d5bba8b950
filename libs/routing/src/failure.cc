#include <algorithm>
#include <array>
#include <numeric>
#include <string>

#include "weigh.h"

namespace quincebank {
namespace {

std::string Wanted(const route_request& request) {
  std::string text;
  if (!request.model_version.empty())
    text += " model version '" + std::string(request.model_version) + "'";
  if (!request.adapter.empty())
    text += std::string(text.empty() ? "" : " with") + " adapter '" + std::string(request.adapter) +
            "'";
  return text.empty() ? " the service" : text;
}

bool Serves(const upstream& one, const route_request& request) {
  if (!request.model_version.empty() && one.model_version != request.model_version)
    return false;
  return request.adapter.empty() ||
         std::find(one.adapters.begin(), one.adapters.end(), request.adapter) != one.adapters.end();
}

constexpr std::size_t kStates = 4;

std::string Counted(std::size_t count, std::string_view what) {
  return std::to_string(count) + " " + std::string(what);
}

}  // namespace

error NoPoolError(const route_input& input) {
  std::array<std::size_t, kStates> states{};
  std::size_t serving = 0;
  for (const upstream& one : input.table->upstreams()) {
    if (!Serves(one, input.request))
      continue;
    ++serving;
    ++states.at(static_cast<std::size_t>(one.state));
  }
  const std::string service = "service '" + input.table->service() + "': ";
  if (serving == 0)
    return MakeError(error_code::kNotFound, service + "no upstream serves" + Wanted(input.request));
  std::string parts;
  for (const upstream_state state :
       {upstream_state::kDrained, upstream_state::kLeaving, upstream_state::kSuspected}) {
    const std::size_t count = states.at(static_cast<std::size_t>(state));
    if (count != 0)
      parts += (parts.empty() ? "" : ", ") + Counted(count, ToString(state));
  }
  const bool suspected = states.at(static_cast<std::size_t>(upstream_state::kSuspected)) != 0;
  return MakeError(
      suspected ? error_code::kUnavailable : error_code::kDraining,
      service + "no usable upstream serves" + Wanted(input.request) + " (" + parts + ")");
}

error AllTriedError(const route_input& input, const routing_table::pool& pool) {
  exclusion_counts counts{};
  counts.at(static_cast<std::size_t>(exclusion::kTried)) = pool.index.size();
  return ExcludedError(input, counts);
}

error ExcludedError(const route_input& input, const exclusion_counts& counts) {
  const auto count = [&](exclusion excluded) {
    return counts.at(static_cast<std::size_t>(excluded));
  };
  std::string parts;
  for (const exclusion excluded : {exclusion::kTried, exclusion::kClosed, exclusion::kColdFull,
                                   exclusion::kFull, exclusion::kDeadline, exclusion::kCold}) {
    if (count(excluded) != 0)
      parts += (parts.empty() ? "" : ", ") + Counted(count(excluded), ToString(excluded));
  }
  error_code code = error_code::kUnavailable;
  if (count(exclusion::kFull) + count(exclusion::kColdFull) != 0) {
    code = error_code::kOverloaded;
  } else if (count(exclusion::kDeadline) != 0) {
    code = error_code::kTimeout;
  } else if (count(exclusion::kClosed) != 0) {
    code = error_code::kDraining;
  }
  return MakeError(code, "service '" + input.table->service() + "': none of " +
                             Counted(std::accumulate(counts.begin(), counts.end(), std::size_t{0}),
                                     "upstreams") +
                             " can take the request (" + parts + ")");
}

}  // namespace quincebank
