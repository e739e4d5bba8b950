#pragma once

#include <cstdint>

namespace quincebank {

/// \brief Mixes all bits of a 64-bit value (the splitmix64 finaliser).
[[nodiscard]] constexpr std::uint64_t Mix64(std::uint64_t x) noexcept {
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31U);
}

/// \brief Small seeded generator (splitmix64). The same seed gives the same sequence everywhere.
class random_source {
 public:
  explicit constexpr random_source(std::uint64_t seed) noexcept : state_(seed) {}

  /// \brief Seeds from the operating system. Only daemons use it; tests pass a seed.
  [[nodiscard]] static random_source FromSystem();

  [[nodiscard]] constexpr std::uint64_t Next() noexcept {
    state_ += 0x9e3779b97f4a7c15ULL;
    return Mix64(state_);
  }

  /// \brief Returns a value in [0, bound). `bound` must not be 0.
  [[nodiscard]] constexpr std::uint64_t Below(std::uint64_t bound) noexcept {
    return static_cast<std::uint64_t>((static_cast<unsigned __int128>(Next()) * bound) >> 64U);
  }

  /// \brief Returns a value in [0, 1).
  [[nodiscard]] constexpr double Unit() noexcept {
    return static_cast<double>(Next() >> 11U) * 0x1.0p-53;
  }

 private:
  std::uint64_t state_;
};

}  // namespace quincebank
