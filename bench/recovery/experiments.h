#pragma once

#include "bench_system.h"

namespace quincebank {

/// \brief Recovery after each fault, with the last new work of what leaves.
/// \returns An exit code.
[[nodiscard]] int RunFaults(const bench_settings& settings);

/// \brief Recovery after open connections to a failure domain's agents go silent.
[[nodiscard]] int RunSilence(const bench_settings& settings);

/// \brief Drain and sudden loss of a failure domain under each routing policy.
[[nodiscard]] int RunPolicies(const bench_settings& settings);

}  // namespace quincebank
