#include <limits>

#include "quincebank/base/random.h"
#include "weigh.h"

namespace quincebank {
namespace {

std::uint32_t ReportedLoad(const upstream_load& load) noexcept {
  return load.in_flight + load.queued;
}

route_decision Chosen(const weigher& weigh, std::uint32_t index, route_reason reason) noexcept {
  route_decision decision;
  decision.index = index;
  decision.reason = reason;
  Keep(decision, weigh.Weigh(index, 0, candidate_source::kScan));
  return decision;
}

}  // namespace

result<route_decision> ChooseByTurn(const route_input& input) {
  const auto* const pool =
      input.table->FindPool(input.request.model_version, input.request.adapter);
  if (pool == nullptr)
    return NoPoolError(input);
  const weigher weigh(input);
  for (std::size_t i = 0; i < pool->index.size(); ++i) {
    const std::uint32_t index = pool->index[(input.request.turn + i) % pool->index.size()];
    if (!weigh.Tried(index))
      return Chosen(weigh, index, route_reason::kTurn);
  }
  return AllTriedError(input, *pool);
}

result<route_decision> ChooseLeastLoaded(const route_input& input) {
  const auto* const pool =
      input.table->FindPool(input.request.model_version, input.request.adapter);
  if (pool == nullptr)
    return NoPoolError(input);
  const weigher weigh(input);
  // A random start keeps ties from always going to the same upstream.
  const std::size_t start = random_source(input.request.seed).Below(pool->index.size());
  std::uint32_t best = routing_table::kNone;
  std::uint32_t lowest = std::numeric_limits<std::uint32_t>::max();
  for (std::size_t i = 0; i < pool->index.size(); ++i) {
    const std::uint32_t index = pool->index[(start + i) % pool->index.size()];
    const std::uint32_t load = ReportedLoad(weigh.LoadOf(index));
    if (load >= lowest || weigh.Tried(index))
      continue;
    best = index;
    lowest = load;
  }
  if (best == routing_table::kNone)
    return AllTriedError(input, *pool);
  route_decision decision = Chosen(weigh, best, route_reason::kLeastLoaded);
  decision.considered = static_cast<std::uint32_t>(pool->index.size());
  return decision;
}

result<route_decision> ChooseOfTwo(const route_input& input) {
  const auto* const pool =
      input.table->FindPool(input.request.model_version, input.request.adapter);
  if (pool == nullptr)
    return NoPoolError(input);
  const weigher weigh(input);
  random_source random(input.request.seed);
  route_decision decision;
  constexpr std::uint32_t kDraws = 2;
  const std::size_t first = random.Below(pool->index.size());
  std::uint32_t lowest = std::numeric_limits<std::uint32_t>::max();
  // The second draw differs from the first; tried upstreams are passed over.
  const std::size_t step = pool->index.size() > 1 ? 1 + random.Below(pool->index.size() - 1) : 1;
  for (std::size_t i = 0; i < pool->index.size() && decision.considered < kDraws; ++i) {
    const std::size_t offset = i == 1 ? step : (i > 1 && i <= step ? i - 1 : i);
    const std::uint32_t index = pool->index[(first + offset) % pool->index.size()];
    if (weigh.Tried(index))
      continue;
    Keep(decision, weigh.Weigh(index, 0, candidate_source::kSample));
    const std::uint32_t load = ReportedLoad(weigh.LoadOf(index));
    if (load >= lowest)
      continue;
    decision.index = index;
    decision.reason = route_reason::kLeastLoaded;
    lowest = load;
  }
  if (decision.index == routing_table::kNone)
    return AllTriedError(input, *pool);
  return decision;
}

}  // namespace quincebank
