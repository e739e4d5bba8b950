#include "quincebank/placement/placement_cost.h"

#include <algorithm>
#include <array>
#include <chrono>

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
// Cost of an output token in prompt tokens if the engine's profile doesn't tell.
constexpr double kDefaultOutputWeight = 10;
// Time that each token in memory adds to a step: each step reads all of them.
constexpr double kStepMillisPerToken = 0.022 / 1'000;
// Share of the memory from which a request may be preempted: predictions are often too low.
constexpr double kSafeMemoryShare = 0.9;

// Relative speed from which an engine counts as equally fast: paces of equal engines vary a little.
constexpr double kSameSpeed = 0.9;

double ToMilliseconds(nanoseconds time) noexcept {
  return std::chrono::duration<double, std::milli>(time).count();
}

double Requests(const placement_candidate& candidate) noexcept {
  return candidate.in_flight + candidate.reported.value_or(0);
}

/// Requests in the queue if one more is sent.
double Queued(const placement_candidate& candidate) noexcept {
  return std::max(Requests(candidate) + 1 - candidate.slots, 0.0);
}

/// Expected wait of a further request, relative to one request in an idle upstream with one slot.
double CountCost(const placement_candidate& candidate, const placement_request& /*request*/) {
  const double in_flight = Requests(candidate) + 1.0;
  const double slots = candidate.slots;
  const double queued = in_flight > slots ? in_flight - slots : 0;
  double cost = (in_flight + kQueuedCost * queued) / slots;
  if (candidate.same_domain)
    cost -= kSameDomainBonus / slots;
  return cost;
}

double WeightedTokens(const work_amount& work, const engine_profile* engine) noexcept {
  if (engine == nullptr)
    return ToMilliseconds(work.duration);
  const double weight = engine->prompt_tokens_per_ms * engine->step_ms_per_request;
  return work.prompt_tokens + (weight > 0 ? weight : kDefaultOutputWeight) * work.output_tokens;
}

double TokensCost(const placement_candidate& candidate, const placement_request& request) {
  const double own = WeightedTokens(request.predicted.work, request.engine);
  const double bonus = candidate.same_domain ? kSameDomainBonus : 0;
  const double outstanding = WeightedTokens(candidate.outstanding, request.engine);
  return (outstanding + own * (1 - bonus + kQueuedCost * Queued(candidate))) / candidate.slots;
}

double PlainFinishCost(const placement_candidate& candidate, const placement_request& request) {
  const double own = ToMilliseconds(request.predicted.work.duration);
  const double bonus = candidate.same_domain ? kSameDomainBonus * own / candidate.slots : 0;
  const double wait =
      (ToMilliseconds(candidate.outstanding.duration) + kQueuedCost * own * Queued(candidate)) /
      candidate.slots;
  return (wait + own - bonus) / candidate.speed;
}

double FinishCost(const placement_candidate& candidate, const placement_request& request) {
  if (request.engine == nullptr)
    return PlainFinishCost(candidate, request);
  const engine_profile& engine = *request.engine;
  const work_amount& own = request.predicted.work;
  const double slots = candidate.slots;
  const double requests = Requests(candidate);
  const double batch =
      std::min(requests + 1, slots) - (candidate.same_domain ? kSameDomainBonus : 0);
  const double step = engine.step_ms + engine.step_ms_per_request * batch +
                      kStepMillisPerToken * candidate.expected_memory;
  // The slots become free one after the other while the batch generates what it has left.
  const double wait =
      step * candidate.outstanding.output_tokens / slots * Queued(candidate) / slots;
  const double prompts = (candidate.outstanding.prompt_tokens + own.prompt_tokens) /
                         std::max(engine.prompt_tokens_per_ms, 1e-3);
  const double run = prompts + step * own.output_tokens;
  const double needed =
      candidate.expected_memory + own.prompt_tokens + request.predicted.upper_output_tokens;
  const auto memory = static_cast<double>(engine.memory_tokens);
  const double excess = memory > 0 ? needed / memory - kSafeMemoryShare : 0;
  const double preemptions = std::clamp(excess / (1 - kSafeMemoryShare), 0.0, 1.0);
  return (wait + run * (1 + preemptions)) / candidate.speed;
}

using cost_function = double (*)(const placement_candidate&, const placement_request&);

/// In the order of `placement_policy`.
constexpr std::array<cost_function, 3> kCosts{&CountCost, &TokensCost, &FinishCost};

}  // namespace

double PlacementCost(const placement_candidate& candidate,
                     const placement_request& request) noexcept {
  const cost_function cost = kCosts.at(static_cast<std::size_t>(request.policy));
  return cost(candidate, request) * (1 + kFailureCost * candidate.failure_share);
}

void LimitToSpeed(const engine_profile& engine,
                  double relative_speed,
                  placement_candidate& candidate) noexcept {
  if (relative_speed >= kSameSpeed || engine.step_ms_per_request <= 0)
    return;
  const double full_step = engine.step_ms + engine.step_ms_per_request * engine.batch_slots;
  const double batch = (relative_speed * full_step - engine.step_ms) / engine.step_ms_per_request;
  const int limit = std::max(static_cast<int>(batch), 1);
  // With fewer slots the current load is queried earlier, so that requests of several entries do
  // not exceed the limit between two reports.
  candidate.slots = std::min(candidate.slots, limit);
  candidate.limit = std::min(candidate.limit, limit);
}

}  // namespace quincebank
