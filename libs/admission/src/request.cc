#include "quincebank/admission/request.h"

#include <array>

namespace quincebank {
namespace {

constexpr std::array<std::string_view, 7> kShedReasonNames{
    "none", "draining", "deadline", "cold", "queue-full", "displaced", "fallback",
};
constexpr std::array<std::string_view, 4> kPhaseNames{"cold", "ramping", "full", "draining"};

}  // namespace

std::string_view ToString(shed_reason reason) noexcept {
  return kShedReasonNames.at(static_cast<std::size_t>(reason));
}

std::string_view ToString(admission_phase phase) noexcept {
  return kPhaseNames.at(static_cast<std::size_t>(phase));
}

}  // namespace quincebank
