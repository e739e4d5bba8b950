#include "quincebank/placement/choose_upstream.h"

#include <algorithm>
#include <array>
#include <utility>

namespace quincebank {
namespace {

// Cost of an attempt that fails, in attempts: its own time, the repeat and the repeat's wait.
constexpr double kFailureCost = 4;
// Advantage of the own failure domain, in requests in flight: less than one request, so that it
// decides only between upstreams that are about equally busy.
constexpr double kSameDomainBonus = 0.25;
// A request in the queue of an upstream waits for a whole service time, one in a slot slows the
// others down by a part of theirs.
constexpr double kQueuedCost = 2;

// Share of its slots from which an engine is asked for its present load: below, a few requests that
// are not known of do not fill it.
constexpr double kAskShare = 0.5;

bool IsBusy(const placement_candidate& candidate) noexcept {
  return candidate.in_flight + candidate.reported.value_or(0) >= candidate.slots * kAskShare;
}

double Cost(const placement_candidate& candidate) noexcept {
  const double in_flight = candidate.in_flight + candidate.reported.value_or(0) + 1.0;
  const double slots = candidate.slots;
  const double queued = in_flight > slots ? in_flight - slots : 0;
  double cost = (in_flight + kQueuedCost * queued) / slots;
  if (candidate.same_domain)
    cost -= kSameDomainBonus / slots;
  return cost * (1 + kFailureCost * candidate.failure_share);
}

// Engines that are drawn; the better of the first two is chosen.
constexpr std::size_t kDrawn = kMostRivals + 1;

/// Keeps some of the usable candidates seen so far, each choice with the same probability.
void Draw(std::array<std::size_t, kDrawn>& drawn,
          std::uint64_t usable,
          std::size_t candidate,
          random_source& random) noexcept {
  const std::uint64_t place = usable <= drawn.size() ? usable - 1 : random.Below(usable);
  if (place < drawn.size())
    drawn[place] = candidate;
}

/// Chooses among the drawn engines: the better of two if there are more than were drawn, since
/// their loads are old and known to all entries alike, and the best one otherwise. \param more
/// whether there are more usable engines.
void DecideByLoads(std::span<const placement_candidate> candidates,
                   std::span<std::size_t> drawn,
                   bool more,
                   random_source& random,
                   placement& best) noexcept {
  if (more) {
    // Only the set of the drawn ones is random, not their order.
    std::swap(drawn[0], drawn[random.Below(drawn.size())]);
    std::swap(drawn[1], drawn[1 + random.Below(drawn.size() - 1)]);
    best.chosen = Cost(candidates[drawn[1]]) < Cost(candidates[drawn[0]]) ? drawn[1] : drawn[0];
  }
  best.ask = IsBusy(candidates[*best.chosen]);
  for (const std::size_t engine : drawn) {
    if (engine != *best.chosen)
      best.rivals.at(best.rival_count++) = engine;
  }
}

}  // namespace

placement ChooseUpstream(std::span<const placement_candidate> candidates,
                         random_source& random) noexcept {
  placement best;
  best.obstacle = candidates.empty() ? placement_obstacle::kNoUpstream : placement_obstacle::kFull;
  // A place in a full one may become free at any moment.
  bool full = false;
  time_point opens = time_point::max();
  double best_cost = 0;
  std::uint64_t usable = 0;
  std::uint64_t equals = 0;
  std::optional<std::size_t> fallback;
  std::optional<std::size_t> superseded;
  bool limited = false;
  std::array<std::size_t, kDrawn> drawn{};
  bool told = true;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const placement_candidate& candidate = candidates[i];
    if (candidate.superseded) {
      if (!candidate.rate_limited && candidate.in_flight < candidate.limit)
        superseded = i;
      continue;
    }
    if (candidate.in_flight + candidate.reported.value_or(0) >= candidate.limit) {
      full = true;
      continue;
    }
    if (candidate.rate_limited) {
      best.obstacle = placement_obstacle::kRateLimited;
      limited = true;
      opens = std::min(opens, candidate.opens);
      continue;
    }
    if (candidate.rests || (candidate.on_trial && candidate.in_flight > 0)) {
      if (!fallback || candidate.rests_until < candidates[*fallback].rests_until)
        fallback = i;
      continue;
    }
    ++usable;
    told = told && candidate.reported.has_value();
    Draw(drawn, usable, i, random);
    const double cost = Cost(candidate);
    if (best.chosen && cost > best_cost)
      continue;
    equals = best.chosen && cost == best_cost ? equals + 1 : 1;
    if (equals > 1 && random.Below(equals) != 0)
      continue;
    best.chosen = i;
    best_cost = cost;
  }
  if (told && usable > 0) {
    const auto count = std::min<std::size_t>(usable, kDrawn);
    DecideByLoads(candidates, std::span(drawn).first(count), usable > kDrawn, random, best);
  }
  if (!best.chosen && !fallback && !full && !limited)
    fallback = superseded;
  if (!best.chosen && fallback) {
    best.chosen = fallback;
    best.resting = true;
  }
  if (best.chosen)
    best.obstacle = placement_obstacle::kNone;
  else if (!full)
    best.opens = opens;
  return best;
}

}  // namespace quincebank
