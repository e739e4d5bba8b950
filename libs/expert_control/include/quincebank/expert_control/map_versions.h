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
  /// \brief Notes a version that a rank has reported.
  void Observe(std::uint64_t version) noexcept { last_ = std::max(last_, version); }
  /// \brief Returns a version above all that were assigned or observed; nothing if the term has
  /// ended.
  [[nodiscard]] std::optional<std::uint64_t> Next() noexcept {
    if (TermEnded())
      return std::nullopt;
    last_ = std::max(last_ + 1, first_);
    return last_;
  }
  /// \brief Whether the term has no versions left: a rank has reported one of a later coordinator,
  /// or all have been assigned.
  [[nodiscard]] bool TermEnded() const noexcept { return last_ >= first_ + kMapsPerTerm - 1; }
  /// \brief Highest version that was assigned or observed.
  [[nodiscard]] std::uint64_t last() const noexcept { return last_; }

 private:
  static constexpr int kMapNumberBits = 16;
  static constexpr std::uint64_t kMapsPerTerm = std::uint64_t{1} << kMapNumberBits;

  std::uint64_t first_ = 0;  ///< Lowest version of the term.
  std::uint64_t last_ = 0;
};

}  // namespace quincebank
