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

std::string Describe(const error& failure) {
  if (failure.path.empty())
    return failure.message;
  return failure.path + ": " + failure.message;
}

}  // namespace quincebank
