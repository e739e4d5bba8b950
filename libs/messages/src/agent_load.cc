#include "quincebank/messages/agent_load.h"

#include <vector>

#include "quincebank/base/json_reader.h"

namespace quincebank {

boost::json::object ToJson(const agent_load& load) {
  return {{"in_flight", load.in_flight},
          {"queued", load.queued},
          {"limit", load.limit},
          {"cold", load.cold},
          {"draining", load.draining},
          {"leaving", load.leaving},
          {"incarnation", ToString(load.life)},
          {"boot", load.boot},
          {"config_version", load.config_version}};
}

result<agent_load> AgentLoadFromJson(const boost::json::value& value) {
  constexpr int_range kCount{0, 1'000'000};
  std::vector<error> errors;
  json_reader reader(value, "", errors);
  agent_load load;
  load.in_flight = static_cast<std::uint32_t>(reader.Int("in_flight", kCount));
  load.queued = static_cast<std::uint32_t>(reader.Int("queued", kCount));
  load.limit = static_cast<std::uint32_t>(reader.Int("limit", kCount));
  load.cold = reader.Bool("cold", false);
  load.draining = reader.Bool("draining", false);
  load.leaving = reader.Bool("leaving", false);
  const auto life = ParseIncarnation(reader.String("incarnation"));
  load.boot = static_cast<std::uint64_t>(reader.Int("boot", {0}, 0));
  load.config_version = static_cast<std::uint64_t>(reader.Int("config_version", {0}, 0));
  if (!life)
    reader.Fail("incarnation", "expected 16 hexadecimal digits");
  if (!errors.empty())
    return JoinErrors(errors);
  load.life = *life;
  return load;
}

}  // namespace quincebank
