#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "quincebank/base/digest.h"
#include "quincebank/base/error.h"
#include "quincebank/base/ref_counted.h"

namespace quincebank {

/// \brief Whether an upstream may get new work.
enum class upstream_state : std::uint8_t {
  kUsable,
  kDrained,    ///< Operators have taken the upstream or its failure domain out of service.
  kLeaving,    ///< The host list or the agent says that the host is going away.
  kSuspected,  ///< Direct evidence, such as failed connections, speaks against it.
};

/// \brief Returns the wire form: `usable`, `drained`, `leaving` or `suspected`.
[[nodiscard]] std::string_view ToString(upstream_state state) noexcept;
[[nodiscard]] std::optional<upstream_state> ParseUpstreamState(std::string_view text) noexcept;

/// \brief Hash of an upstream's id. It stays the same across snapshots, unlike the index.
struct upstream_key {
  std::uint64_t value = 0;

  [[nodiscard]] auto operator<=>(const upstream_key&) const noexcept = default;
};

/// \brief Returns the key of an upstream id; the same in all processes.
[[nodiscard]] constexpr upstream_key KeyOf(std::string_view id) noexcept {
  return {StableHash64(id)};
}

/// \brief One replica of a service, as the configuration and the membership view describe it.
struct upstream {
  std::string id;
  std::string host;
  std::string failure_domain;
  std::string region;
  std::string model_version;          ///< Empty for plain services.
  std::vector<std::string> adapters;  ///< Adapters that are loaded.
  std::uint32_t weight = 100;         ///< Share of prefixes relative to the other upstreams.
  upstream_state state = upstream_state::kUsable;
};

/// \brief Immutable snapshot of the upstreams of one service.
///
/// The control thread builds it on each change; traffic threads share it by `ref_ptr`. Indices are
/// positions in the list given to `Build` and are valid only for this snapshot.
///
/// \example
///   const auto table = routing_table::Build("quince-drafts", std::move(upstreams));
///   if (!table.has_value())
///     return table.error();
class routing_table : public ref_counted<routing_table> {
 public:
  /// Index of no upstream.
  static constexpr std::uint32_t kNone = 0xffffffff;
  /// Most upstreams in one snapshot.
  static constexpr std::size_t kMaxUpstreams = 65535;
  static constexpr std::uint32_t kMaxWeight = 10000;
  /// Stretch of the members with the highest weight.
  static constexpr std::uint32_t kStretchOne = 256;
  static constexpr std::uint32_t kShareOne = 1024;

  /// \brief Members of a pool that are in one region.
  struct region_range {
    std::uint16_t region = 0;  ///< Number of the region's name.
    std::uint32_t begin = 0;
    std::uint32_t end = 0;
    std::uint64_t weight = 0;  ///< Sum of the members' weights.
  };

  /// \brief Usable upstreams that serve one model version and adapter, laid out for scanning.
  ///
  /// They are grouped by region and in random, fixed order within a region, so that a run of
  /// neighbours is a sample over hosts and failure domains.
  struct pool {
    std::string model_version;  ///< Empty: any version.
    std::string adapter;        ///< Empty: no adapter needed.
    std::vector<std::uint32_t> index;
    std::vector<std::uint64_t> multiplier;  ///< Odd hash of the id, for rendezvous hashing.
    /// Highest weight of the pool over the member's weight, times `kStretchOne`.
    std::vector<std::uint32_t> stretch;
    std::uint32_t max_weight = 1;
    std::vector<region_range> regions;
  };

  /// \returns The snapshot, or an error whose path names the wrong upstream: an id that is empty
  ///     or repeated, a weight outside 1 to `kMaxWeight`, or too many upstreams.
  [[nodiscard]] static result<ref_ptr<const routing_table>> Build(std::string service,
                                                                  std::vector<upstream> upstreams);

  [[nodiscard]] const std::string& service() const noexcept { return service_; }
  [[nodiscard]] std::size_t size() const noexcept { return upstreams_.size(); }
  [[nodiscard]] const upstream& at(std::uint32_t index) const { return upstreams_.at(index); }
  [[nodiscard]] const std::vector<upstream>& upstreams() const noexcept { return upstreams_; }
  [[nodiscard]] upstream_key key(std::uint32_t index) const { return keys_.at(index); }

  /// \returns The index of the upstream with this key, or `kNone`.
  [[nodiscard]] std::uint32_t IndexOf(upstream_key key) const noexcept;
  /// \returns The usable upstreams for a version and adapter, or null if there are none.
  [[nodiscard]] const pool* FindPool(std::string_view model_version,
                                     std::string_view adapter) const noexcept;
  /// \returns The number of a region's or failure domain's name, or 0 if no upstream has it.
  [[nodiscard]] std::uint16_t NumberOf(std::string_view name) const noexcept;
  [[nodiscard]] std::uint16_t region(std::uint32_t index) const { return regions_.at(index); }
  [[nodiscard]] std::uint16_t failure_domain(std::uint32_t index) const {
    return failure_domains_.at(index);
  }
  /// \brief Share of the upstream's failure domain that is suspected, from 0 to `kShareOne`.
  ///
  /// The first suspected upstream of a domain does not count: one failed host is no evidence
  /// against the others.
  [[nodiscard]] std::uint32_t SuspectedShare(std::uint32_t index) const {
    return suspected_shares_.at(failure_domains_.at(index));
  }

 private:
  routing_table() = default;

  void AddToPools(std::uint32_t index);
  void AddToPool(std::string_view model_version, std::string_view adapter, std::uint32_t index);
  void BuildKeySlots();
  void BuildSuspectedShares();
  [[nodiscard]] std::uint16_t Number(const std::string& name);

  std::string service_;
  std::vector<upstream> upstreams_;
  std::vector<upstream_key> keys_;
  std::vector<std::uint16_t> regions_;
  std::vector<std::uint16_t> failure_domains_;
  std::vector<std::uint32_t> suspected_shares_;  // By the number of the failure domain's name.
  std::vector<std::string> names_;               // Number n is names_[n - 1].
  std::vector<pool> pools_;                      // Sorted by the hash of version and adapter.
  std::vector<std::uint64_t> pool_keys_;         // Hashes of pools_, same order.
  std::vector<std::uint32_t> key_slots_;         // Open-addressed; a power of two.
};

}  // namespace quincebank
