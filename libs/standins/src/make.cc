#include <array>
#include <string>

#include "quincebank/standins/standin.h"

namespace quincebank {
namespace {

struct role {
  std::string_view name;
  std::unique_ptr<standin> (*make)(const standin_settings&);
};

constexpr std::array<role, 5> kRoles{{{"kv", MakeKvStandin},
                                      {"hosts", MakeHostsStandin},
                                      {"engine", MakeEngineStandin},
                                      {"orders", MakeOrdersStandin},
                                      {"rank-group", MakeRankGroupStandin}}};

}  // namespace

result<std::unique_ptr<standin>> MakeStandin(std::string_view role,
                                             const standin_settings& settings) {
  for (const auto& known : kRoles) {
    if (known.name == role)
      return known.make(settings);
  }
  return MakeError(
      error_code::kInvalidArgument,
      "unknown role '" + std::string(role) + "'; roles are kv, hosts, engine, orders, rank-group");
}

}  // namespace quincebank
