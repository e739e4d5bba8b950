#include "quincebank/routing/decision.h"

#include <array>

namespace quincebank {
namespace {

constexpr std::array<std::string_view, 5> kSourceNames{"cache", "conversation", "template",
                                                       "sample", "scan"};
constexpr std::array<std::string_view, 7> kExclusionNames{"",       "tried",    "cold-full", "full",
                                                          "closed", "deadline", "cold"};
constexpr std::array<std::string_view, 5> kReasonNames{"only-candidate", "cache", "affinity",
                                                       "least-loaded", "turn"};

}  // namespace

std::string_view ToString(candidate_source source) noexcept {
  return kSourceNames.at(static_cast<std::size_t>(source));
}

std::string_view ToString(exclusion excluded) noexcept {
  return kExclusionNames.at(static_cast<std::size_t>(excluded));
}

std::string_view ToString(route_reason reason) noexcept {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

}  // namespace quincebank
