#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace quincebank {

/// \brief Assigns versions to the maps that a coordinator orders for one group.
///
/// No two maps get the same version, whichever coordinators order them: the high bits hold the term
/// of the coordinator, and the low bits count the maps of the term. A rank that has loaded a map of
/// an earlier coordinator, whose order was carried out late, therefore never seems to have loaded
/// one of the present coordinator.
class map_versions {
 public:
  /// \brief Begins a term of the coordinator role. The versions of a term that is resumed are not
  /// assigned again.
  /// \param term  grows from one coordinator to the next; below 2^47.
  void BeginTerm(std::uint64_t term) noexcept { first_ = term << kMapNumberBits; }
  /// \brief Returns a version above all that were assigned before; nothing if the term has none
  /// left.
  /// \param reported  highest version that ranks report; the result is above it as well.
  [[nodiscard]] std::optional<std::uint64_t> Next(std::uint64_t reported) noexcept {
    const std::uint64_t version = std::max({last_ + 1, first_, reported + 1});
    if (IsOfLaterTerm(version))
      return std::nullopt;
    last_ = version;
    return version;
  }
  /// \brief Whether a later coordinator has assigned a version.
  [[nodiscard]] bool IsOfLaterTerm(std::uint64_t version) const noexcept {
    return version >= first_ + kMapsPerTerm;
  }
  /// \brief Whether all versions of the term have been assigned.
  [[nodiscard]] bool Exhausted() const noexcept { return IsOfLaterTerm(last_ + 1); }
  /// \brief Version that was assigned last.
  [[nodiscard]] std::uint64_t last() const noexcept { return last_; }

 private:
  static constexpr int kMapNumberBits = 16;
  static constexpr std::uint64_t kMapsPerTerm = std::uint64_t{1} << kMapNumberBits;

  std::uint64_t first_ = 0;  ///< Lowest version of the term.
  std::uint64_t last_ = 0;
};

}  // namespace quincebank
