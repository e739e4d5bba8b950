#include "quincebank/placement/choose_upstream.h"

#include <algorithm>
#include <array>
#include <utility>

namespace quincebank {
namespace {

// Cost of a failed attempt, in attempts: its own time, the retry and the wait of the retry.
constexpr double kFailureCost = 4;
// Preference for the own failure domain, in requests in flight. It is below one request, so that it
// decides only between upstreams that are about equally busy.
constexpr double kSameDomainBonus = 0.25;
// Extra cost of a request in the queue of an upstream: it waits for a whole service time, while one
// in a slot only slows the others down by a part of theirs.
constexpr double kQueuedCost = 2;

// Share of used slots from which the current load of an engine is queried. Below it, a few requests
// that are not reported yet do not fill the engine.
constexpr double kLoadQueryShare = 0.5;

bool IsBusy(const placement_candidate& candidate) noexcept {
  const double query_from =
      candidate.query_from > 0 ? candidate.query_from : candidate.slots * kLoadQueryShare;
  return candidate.in_flight + candidate.reported.value_or(0) >= query_from;
}

/// Expected wait of a further request, relative to one request in an idle upstream with one slot.
double Cost(const placement_candidate& candidate) noexcept {
  const double in_flight = candidate.in_flight + candidate.reported.value_or(0) + 1.0;
  const double slots = candidate.slots;
  const double queued = in_flight > slots ? in_flight - slots : 0;
  double cost = (in_flight + kQueuedCost * queued) / slots;
  if (candidate.same_domain)
    cost -= kSameDomainBonus / slots;
  return cost * (1 + kFailureCost * candidate.failure_share);
}

// Engines that are sampled; the better of two of them is chosen.
constexpr std::size_t kSampleSize = kMaxAlternatives + 1;

/// Reservoir sampling: each subset of the usable candidates seen so far is equally likely.
///
/// \param usable  number of usable candidates so far, this one included.
void Sample(std::array<std::size_t, kSampleSize>& sampled,
            std::uint64_t usable,
            std::size_t candidate,
            random_source& random) noexcept {
  const std::uint64_t index = usable <= sampled.size() ? usable - 1 : random.Below(usable);
  if (index < sampled.size())
    sampled[index] = candidate;
}

/// Sets the sampled engines as alternatives. If there are more usable engines than were sampled,
/// the better of two sampled ones is chosen, since all entries see the same outdated loads;
/// otherwise the best engine stays chosen.
///
/// \param more  whether there are more usable engines than sampled ones.
void ChooseByReportedLoads(std::span<const placement_candidate> candidates,
                           std::span<std::size_t> sampled,
                           bool more,
                           random_source& random,
                           placement& best) noexcept {
  if (more) {
    // Reservoir sampling yields a random set, but not a random order.
    std::swap(sampled[0], sampled[random.Below(sampled.size())]);
    std::swap(sampled[1], sampled[1 + random.Below(sampled.size() - 1)]);
    best.chosen =
        Cost(candidates[sampled[1]]) < Cost(candidates[sampled[0]]) ? sampled[1] : sampled[0];
  }
  best.query_loads = IsBusy(candidates[*best.chosen]);
  for (const std::size_t engine : sampled) {
    if (engine != *best.chosen)
      best.alternatives.at(best.alternative_count++) = engine;
  }
}

}  // namespace

placement ChooseUpstream(std::span<const placement_candidate> candidates,
                         random_source& random) noexcept {
  placement best;
  best.obstacle = candidates.empty() ? placement_obstacle::kNoUpstream : placement_obstacle::kFull;
  // A full upstream may become available at any moment.
  bool any_full = false;
  time_point available_at = time_point::max();
  double best_cost = 0;
  std::uint64_t usable = 0;
  std::uint64_t tied = 0;
  std::optional<std::size_t> fallback;
  std::optional<std::size_t> superseded;
  bool any_rate_limited = false;
  std::array<std::size_t, kSampleSize> sampled{};
  bool all_reported = true;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const placement_candidate& candidate = candidates[i];
    if (candidate.superseded) {
      if (!candidate.rate_limited && candidate.in_flight < candidate.limit)
        superseded = i;
      continue;
    }
    if (candidate.in_flight + candidate.reported.value_or(0) >= candidate.limit) {
      any_full = true;
      continue;
    }
    if (candidate.rate_limited) {
      best.obstacle = placement_obstacle::kRateLimited;
      any_rate_limited = true;
      available_at = std::min(available_at, candidate.available_at);
      continue;
    }
    if (candidate.ejected || (candidate.probing && candidate.in_flight > 0)) {
      if (!fallback || candidate.ejected_until < candidates[*fallback].ejected_until)
        fallback = i;
      continue;
    }
    ++usable;
    all_reported = all_reported && candidate.reported.has_value();
    Sample(sampled, usable, i, random);
    const double cost = Cost(candidate);
    if (best.chosen && cost > best_cost)
      continue;
    tied = best.chosen && cost == best_cost ? tied + 1 : 1;
    if (tied > 1 && random.Below(tied) != 0)
      continue;
    best.chosen = i;
    best_cost = cost;
  }
  if (all_reported && usable > 0) {
    const auto count = std::min<std::size_t>(usable, kSampleSize);
    ChooseByReportedLoads(candidates, std::span(sampled).first(count), usable > kSampleSize, random,
                          best);
  }
  if (!best.chosen && !fallback && !any_full && !any_rate_limited)
    fallback = superseded;
  if (!best.chosen && fallback) {
    best.chosen = fallback;
    best.is_fallback = true;
  }
  if (best.chosen)
    best.obstacle = placement_obstacle::kNone;
  else if (!any_full)
    best.available_at = available_at;
  return best;
}

}  // namespace quincebank
