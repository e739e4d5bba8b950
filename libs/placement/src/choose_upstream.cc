#include "quincebank/placement/choose_upstream.h"

#include <algorithm>
#include <array>
#include <utility>

#include "quincebank/placement/placement_cost.h"

namespace quincebank {
namespace {

// Share of used slots from which the current load of an engine is queried. Below it, a few requests
// that are not reported yet do not fill the engine.
constexpr double kLoadQueryShare = 0.5;

bool IsBusy(const placement_candidate& candidate) noexcept {
  const double query_from =
      candidate.query_from > 0 ? candidate.query_from : candidate.slots * kLoadQueryShare;
  return candidate.in_flight + candidate.reported.value_or(0) >= query_from;
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

/// Returns the better of two random ones of the sampled upstreams, at least two.
std::size_t BetterOfTwo(std::span<const placement_candidate> candidates,
                        std::span<std::size_t> sampled,
                        const placement_request& request,
                        random_source& random) noexcept {
  // Reservoir sampling yields a random set, but not a random order.
  std::swap(sampled[0], sampled[random.Below(sampled.size())]);
  std::swap(sampled[1], sampled[1 + random.Below(sampled.size() - 1)]);
  return PlacementCost(candidates[sampled[1]], request) <
                 PlacementCost(candidates[sampled[0]], request)
             ? sampled[1]
             : sampled[0];
}

/// Sets the sampled engines as alternatives.
void QueryLoadsIfBusy(std::span<const placement_candidate> candidates,
                      std::span<const std::size_t> sampled,
                      placement& best) noexcept {
  best.query_loads = IsBusy(candidates[*best.chosen]);
  for (const std::size_t engine : sampled) {
    if (engine != *best.chosen)
      best.alternatives.at(best.alternative_count++) = engine;
  }
}

}  // namespace

std::string_view ToString(placement_obstacle obstacle) noexcept {
  constexpr std::array<std::string_view, 5> kNames{"none", "no-upstream", "full", "rate-limited",
                                                   "forming"};
  return kNames.at(static_cast<std::size_t>(obstacle));
}

placement ChooseUpstream(std::span<const placement_candidate> candidates,
                         random_source& random,
                         const placement_request& request) noexcept {
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
  bool any_forming = false;
  bool any_confirmed = false;
  std::array<std::size_t, kSampleSize> sampled{};
  bool all_reported = true;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const placement_candidate& candidate = candidates[i];
    best.is_restarting = best.is_restarting || candidate.superseded || candidate.forming;
    if (candidate.superseded) {
      if (!candidate.rate_limited && candidate.in_flight < candidate.limit)
        superseded = i;
      continue;
    }
    if (candidate.forming) {
      any_forming = any_forming || candidate.available_at != time_point::max();
      available_at = std::min(available_at, candidate.available_at);
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
    if (candidate.unconfirmed && any_confirmed)
      continue;
    if (!candidate.unconfirmed && !any_confirmed) {
      // Forgets the unconfirmed upstreams before this one.
      any_confirmed = true;
      best.chosen.reset();
      usable = 0;
      all_reported = true;
    }
    ++usable;
    all_reported = all_reported && candidate.reported.has_value();
    Sample(sampled, usable, i, random);
    const double cost = PlacementCost(candidate, request);
    if (best.chosen && cost > best_cost)
      continue;
    tied = best.chosen && cost == best_cost ? tied + 1 : 1;
    if (tied > 1 && random.Below(tied) != 0)
      continue;
    best.chosen = i;
    best_cost = cost;
  }
  best.is_unconfirmed = best.chosen && !any_confirmed;
  const auto sample = std::span(sampled).first(std::min<std::size_t>(usable, kSampleSize));
  // All entries see the same outdated loads, or none. After a load query there are no more usable
  // engines than sampled ones, and the best of them stays chosen.
  const bool has_loads = all_reported || best.is_unconfirmed;
  const bool is_unreported_choice = !has_loads && request.policy != placement_policy::kCount;
  if ((has_loads && usable > kSampleSize) || (is_unreported_choice && usable > 2))
    best.chosen = BetterOfTwo(candidates, sample, request, random);
  if (has_loads && usable > 0)
    QueryLoadsIfBusy(candidates, sample, best);
  best.query_loads = best.query_loads || best.is_unconfirmed;
  if (!best.chosen && !fallback && !any_full && !any_rate_limited && !any_forming)
    fallback = superseded;
  if (!best.chosen && fallback) {
    best.chosen = fallback;
    best.is_fallback = true;
  }
  if (best.chosen)
    best.obstacle = placement_obstacle::kNone;
  else if (!any_full && any_forming)
    best.obstacle = placement_obstacle::kForming;
  if (!best.chosen && !any_full)
    best.available_at = available_at;
  return best;
}

}  // namespace quincebank
