#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/digest.h"
#include "quincebank/base/error.h"
#include "quincebank/base/ref_counted.h"
#include "quincebank/config/document.h"

namespace quincebank {

/// \brief Hash by which snapshots hold workspaces.
[[nodiscard]] constexpr std::uint64_t WorkspaceHash(std::string_view name) noexcept {
  return StableHash64(name);
}

/// \brief Share and priority of a workspace.
struct workspace_share {
  std::uint32_t weight = 1;
  std::uint8_t priority = 5;
};

/// \brief Immutable configuration of one version, shared by threads through `ref_ptr`.
///
/// Indices are positions in `services()` and `upstreams()`, both ordered by name.
///
/// \example
///   ref_ptr<const effective_config> config = holder.config();
///   const auto service = config->FindService("munshi");
///   for (const std::uint32_t index : config->UpstreamsOf(*service)) { ... }
class effective_config : public ref_counted<effective_config> {
 public:
  /// \brief Checks the sections together and builds the snapshot.
  [[nodiscard]] static result<ref_ptr<const effective_config>> Build(std::uint64_t version,
                                                                     std::string digest,
                                                                     config_document document);

  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
  [[nodiscard]] const std::string& digest() const noexcept { return digest_; }

  [[nodiscard]] const std::vector<service_config>& services() const noexcept { return services_; }
  [[nodiscard]] const std::vector<upstream_config>& upstreams() const noexcept {
    return upstreams_;
  }
  [[nodiscard]] const std::vector<failure_domain_config>& failure_domains() const noexcept {
    return failure_domains_;
  }
  [[nodiscard]] const std::vector<model_version_config>& model_versions() const noexcept {
    return model_versions_;
  }
  [[nodiscard]] const std::vector<objective_config>& objectives() const noexcept {
    return objectives_;
  }
  [[nodiscard]] const std::vector<expert_group_config>& expert_groups() const noexcept {
    return expert_groups_;
  }

  [[nodiscard]] std::optional<std::uint32_t> FindService(std::string_view name) const noexcept;
  [[nodiscard]] std::optional<std::uint32_t> FindUpstream(std::string_view name) const noexcept;
  [[nodiscard]] const failure_domain_config* FindFailureDomain(
      std::string_view name) const noexcept;
  [[nodiscard]] const model_version_config* FindModelVersion(
      std::string_view model,
      std::string_view version) const noexcept;

  /// \brief Returns the indices of the upstreams of a service, drained ones included.
  [[nodiscard]] const std::vector<std::uint32_t>& UpstreamsOf(
      std::uint32_t service) const noexcept {
    return upstreams_of_[service];
  }
  /// \brief Returns the route with the longest matching prefix, or null.
  ///
  /// Among equal prefixes an exact method wins over `*`. Prefixes match whole path segments.
  [[nodiscard]] const route_config* FindRoute(std::uint32_t service,
                                              std::string_view method,
                                              std::string_view path) const noexcept;
  /// \brief Returns whether operators have taken the upstream's failure domain out.
  [[nodiscard]] bool IsDrained(std::uint32_t upstream) const noexcept { return drained_[upstream]; }
  /// \brief Returns whether operators have taken a failure domain out; false if it is unknown.
  [[nodiscard]] bool IsDomainDrained(std::string_view failure_domain) const noexcept;

  [[nodiscard]] std::optional<workspace_share> FindWorkspace(std::uint64_t hash) const noexcept;
  [[nodiscard]] std::optional<workspace_share> FindWorkspace(std::string_view name) const noexcept {
    return FindWorkspace(WorkspaceHash(name));
  }
  [[nodiscard]] std::size_t workspace_count() const noexcept { return workspaces_.size(); }
  /// \brief Returns the heap bytes of the snapshot, estimated from its containers.
  [[nodiscard]] std::size_t EstimateBytes() const noexcept;

 private:
  struct workspace_slot {
    std::uint64_t hash = 0;
    workspace_share share;
  };

  effective_config() = default;
  void Take(config_document document);
  void Index();

  std::uint64_t version_ = 0;
  std::string digest_;
  std::vector<failure_domain_config> failure_domains_;
  std::vector<model_version_config> model_versions_;
  std::vector<service_config> services_;
  std::vector<upstream_config> upstreams_;
  std::vector<objective_config> objectives_;
  std::vector<expert_group_config> expert_groups_;
  std::vector<workspace_slot> workspaces_;  ///< Ordered by hash; names are not kept.
  std::vector<std::vector<std::uint32_t>> upstreams_of_;
  std::vector<bool> drained_;
};

/// \brief Returns the longest claim retention of the services that have a route that is not
/// repeatable, or the default if there are none.
[[nodiscard]] milliseconds LongestClaimRetention(const effective_config& config) noexcept;

}  // namespace quincebank
