#include "quincebank/base/verdict.h"

#include <array>

namespace quincebank {
namespace {

struct verdict_name {
  verdict value;
  std::string_view text;
};

constexpr std::array<verdict_name, 3> kNames{{
    {verdict::kNotRun, "not-run"},
    {verdict::kRan, "ran"},
    {verdict::kMayHaveRun, "may-have-run"},
}};

}  // namespace

std::string_view ToString(verdict value) noexcept {
  for (const verdict_name& name : kNames) {
    if (name.value == value)
      return name.text;
  }
  return "may-have-run";
}

std::optional<verdict> ParseVerdict(std::string_view text) noexcept {
  for (const verdict_name& name : kNames) {
    if (name.text == text)
      return name.value;
  }
  return std::nullopt;
}

}  // namespace quincebank
