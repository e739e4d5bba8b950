#pragma once

#include <array>
#include <string>

namespace quincebank {

struct domain_plan {
  const char* name;
  const char* region;
};

inline constexpr const char* kEast = "qc-east";
inline constexpr const char* kWest = "qc-west";
inline constexpr std::array<domain_plan, 3> kOneRegion{
    {{"qc-east-a", kEast}, {"qc-east-b", kEast}, {"qc-east-c", kEast}}};
inline constexpr std::array<domain_plan, 4> kTwoRegions{
    {{"qc-east-a", kEast}, {"qc-west-a", kWest}, {"qc-east-b", kEast}, {"qc-west-b", kWest}}};
inline constexpr int kGroupLayers = 2;
inline constexpr int kGroupExperts = 16;

/// \brief Whether a process is an entry or an agent.
[[nodiscard]] inline bool IsNode(const std::string& process) {
  return process.starts_with("entry-") || process.starts_with("agent-");
}

}  // namespace quincebank
