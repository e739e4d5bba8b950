#include "quincebank/base/error.h"

#include <array>

namespace quincebank {
namespace {

constexpr std::array<std::string_view, 10> kCodeNames{
    "invalid-argument", "not-found", "conflict", "unavailable", "timeout",
    "overloaded",       "draining",  "stale",    "truncated",   "internal",
};

}  // namespace

std::string_view ToString(error_code code) noexcept {
  return kCodeNames.at(static_cast<std::size_t>(code));
}

std::optional<error_code> ParseErrorCode(std::string_view text) noexcept {
  for (std::size_t i = 0; i < kCodeNames.size(); ++i) {
    if (kCodeNames.at(i) == text)
      return static_cast<error_code>(i);
  }
  return std::nullopt;
}

std::string Describe(const error& failure) {
  if (failure.path.empty())
    return failure.message;
  return failure.path + ": " + failure.message;
}

}  // namespace quincebank
