#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace quincebank {

class random_source;

/// \brief Identity of one attempt to run a request at one upstream. 128 random bits.
struct attempt_id {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  [[nodiscard]] auto operator<=>(const attempt_id&) const noexcept = default;
};

/// \brief Identity of one life of a process, drawn at its start.
struct incarnation {
  std::uint64_t value = 0;

  [[nodiscard]] auto operator<=>(const incarnation&) const noexcept = default;
};

/// \brief Returns 32 lower-case hexadecimal digits.
[[nodiscard]] std::string ToString(attempt_id id);
/// \brief Returns 16 lower-case hexadecimal digits.
[[nodiscard]] std::string ToString(incarnation id);

/// \brief Parses exactly 32 hexadecimal digits.
[[nodiscard]] std::optional<attempt_id> ParseAttemptId(std::string_view text) noexcept;
/// \brief Parses exactly 16 hexadecimal digits.
[[nodiscard]] std::optional<incarnation> ParseIncarnation(std::string_view text) noexcept;

[[nodiscard]] attempt_id NewAttemptId(random_source& random) noexcept;
[[nodiscard]] incarnation NewIncarnation(random_source& random) noexcept;

}  // namespace quincebank

template <>
struct std::hash<quincebank::attempt_id> {
  [[nodiscard]] std::size_t operator()(const quincebank::attempt_id& id) const noexcept {
    return static_cast<std::size_t>(id.high ^ id.low);
  }
};
