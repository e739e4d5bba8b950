#pragma once

#include <cstdint>

namespace quincebank::bench {

/// \brief Useful work at 0.5 to 3 times the capacity, for each policy.
void RunGoodput(std::uint64_t seed);
/// \brief Share of answered requests of small and large workspaces under overload.
void RunFairness(std::uint64_t seed);
/// \brief Repeats with and without the budget, after a pulse of overload.
void RunRetries(std::uint64_t seed);
/// \brief Entries that follow the rejections of the gate, without agreement.
void RunEntries(std::uint64_t seed);
/// \brief Latency with and without hedges when upstreams become slow.
void RunHedging(std::uint64_t seed);
/// \brief An upstream that starts cold, and one that crashes while warm.
void RunColdStart(std::uint64_t seed);
/// \brief Memory and time by the number of workspaces. Times are measured on the real clock.
void RunSlopes(std::uint64_t seed);

}  // namespace quincebank::bench
