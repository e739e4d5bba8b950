#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace quincebank {

/// \brief Whether a request may have run at an upstream.
enum class verdict : std::uint8_t {
  kNotRun,      ///< Provably no copy of the request ran or will run.
  kRan,         ///< The upstream answered.
  kMayHaveRun,  ///< Nothing can be proved.
};

/// \brief Combines the verdicts of two copies of one attempt.
///
/// The combination is "not run" only if both copies have not run.
///
/// \returns `kRan` if either copy ran, else `kMayHaveRun` if either may have run, else `kNotRun`.
[[nodiscard]] constexpr verdict Combine(verdict a, verdict b) noexcept {
  if (a == verdict::kRan || b == verdict::kRan)
    return verdict::kRan;
  if (a == verdict::kMayHaveRun || b == verdict::kMayHaveRun)
    return verdict::kMayHaveRun;
  return verdict::kNotRun;
}

/// \brief Returns the wire form: `not-run`, `ran` or `may-have-run`.
[[nodiscard]] std::string_view ToString(verdict value) noexcept;

/// \brief Parses the wire form.
[[nodiscard]] std::optional<verdict> ParseVerdict(std::string_view text) noexcept;

}  // namespace quincebank
