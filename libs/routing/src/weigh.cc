#include "weigh.h"

#include <algorithm>

namespace quincebank {
namespace {

constexpr std::uint64_t kPercent = 100;

std::uint64_t QueuePercent(const route_input& input) noexcept {
  const int priority = std::clamp(input.request.priority, 0, kMaxPriority);
  return static_cast<std::uint64_t>(input.settings.queue_percent) *
         static_cast<std::uint64_t>(priority + 1) / (kMaxPriority + 1);
}

std::int64_t DeadlineUs(milliseconds deadline) noexcept {
  constexpr std::int64_t kUsPerMs = 1000;
  if (deadline.count() > kNoDeadline.count() / kUsPerMs)
    return kNoDeadline.count();
  return deadline.count() * kUsPerMs;
}

}  // namespace

weigher::weigher(const route_input& input) noexcept
    : input_(input),
      prefix_blocks_(static_cast<std::uint32_t>(input.request.prefix.size())),
      region_(input.table->NumberOf(input.request.region)),
      failure_domain_(input.table->NumberOf(input.request.failure_domain)),
      queue_percent_(QueuePercent(input)),
      deadline_us_(DeadlineUs(input.request.deadline)) {
  for (const upstream_key key : input.request.tried) {
    const std::uint32_t index = input.table->IndexOf(key);
    if (index == routing_table::kNone || tried_domains_ == tried_domain_.size())
      continue;
    if (input.table->failure_domain(index) != 0)
      tried_domain_[tried_domains_++] = input.table->failure_domain(index);
  }
}

bool weigher::SharesTriedDomain(std::uint32_t index) const noexcept {
  const std::uint16_t domain = input_.table->failure_domain(index);
  for (std::size_t i = 0; i < tried_domains_; ++i) {
    if (tried_domain_[i] == domain)
      return true;
  }
  return false;
}

route_candidate weigher::Weigh(std::uint32_t index,
                               std::uint32_t cached_blocks,
                               candidate_source source) const noexcept {
  const route_settings& settings = input_.settings;
  const upstream_load load = LoadOf(index);
  const bool known = load.limit != 0;
  const std::int64_t limit = std::max<std::int64_t>(known ? load.limit : settings.unknown_limit, 1);
  route_candidate candidate;
  candidate.index = index;
  candidate.load = CorrectedLoad(load);
  const bool assumed =
      source == candidate_source::kConversation || source == candidate_source::kTemplate;
  candidate.cached_blocks = assumed && load.cold ? 0 : std::min(cached_blocks, prefix_blocks_);
  candidate.source = source;

  const std::int64_t held = candidate.load;
  std::int64_t delay = settings.full_slowdown.count() * std::min(held, limit);
  if (held >= limit)
    delay += settings.service_time.count() * (held + 1 - limit);
  delay /= limit;
  delay += settings.block_prefill.count() * (prefix_blocks_ - candidate.cached_blocks);
  candidate.score = delay;
  if (region_ != 0 && input_.table->region(index) != region_) {
    candidate.score += settings.region_penalty.count();
  } else if (failure_domain_ != 0 && input_.table->failure_domain(index) != failure_domain_) {
    candidate.score += settings.domain_penalty.count();
  }
  if (SharesTriedDomain(index)) {
    candidate.score += settings.retry_domain_penalty.count();
  } else {
    candidate.score += settings.lost_domain_penalty.count() * input_.table->SuspectedShare(index) /
                       routing_table::kShareOne;
  }

  // An old or missing hint on load may be wrong, and the agent decides anyway; it must not cause a
  // rejection here.
  const bool fresh = known && load.age <= settings.hint_lifetime;
  const bool full = input_.request.hedge
                        ? held >= limit
                        : fresh && held * kPercent >= limit * (kPercent + queue_percent_);
  if (Tried(index)) {
    candidate.excluded = exclusion::kTried;
  } else if (load.closed) {
    candidate.excluded = exclusion::kClosed;
  } else if (input_.request.hedge && (!known || load.cold)) {
    candidate.excluded = exclusion::kCold;
  } else if (known && load.cold && held >= limit) {
    candidate.excluded = exclusion::kColdFull;
  } else if (full) {
    candidate.excluded = exclusion::kFull;
  } else if (fresh && delay > deadline_us_) {
    candidate.excluded = exclusion::kDeadline;
  }
  return candidate;
}

void Keep(route_decision& decision, const route_candidate& candidate) noexcept {
  const auto worse = [](const route_candidate& a, const route_candidate& b) {
    const bool a_out = a.excluded != exclusion::kNone;
    const bool b_out = b.excluded != exclusion::kNone;
    return a_out != b_out ? a_out : a.score > b.score;
  };
  std::size_t worst = 0;
  for (std::size_t i = 0; i < decision.kept; ++i) {
    route_candidate& kept = decision.kept_candidates[i];
    if (kept.index == candidate.index) {
      if (candidate.cached_blocks > kept.cached_blocks)
        kept = candidate;
      return;
    }
    if (worse(kept, decision.kept_candidates[worst]))
      worst = i;
  }
  ++decision.considered;
  if (decision.kept < kMaxCandidates) {
    decision.kept_candidates[decision.kept++] = candidate;
  } else if (worse(decision.kept_candidates[worst], candidate)) {
    decision.kept_candidates[worst] = candidate;
  }
}

bool PickLowest(route_decision& decision) noexcept {
  const route_candidate* best = nullptr;
  std::size_t usable = 0;
  for (const route_candidate& candidate : decision.candidates()) {
    if (candidate.excluded != exclusion::kNone)
      continue;
    ++usable;
    if (best == nullptr || candidate.score < best->score)
      best = &candidate;
  }
  if (best == nullptr)
    return false;
  decision.index = best->index;
  if (usable == 1) {
    decision.reason = route_reason::kOnlyCandidate;
  } else if (best->source == candidate_source::kCache) {
    decision.reason = route_reason::kCache;
  } else if (best->source == candidate_source::kConversation ||
             best->source == candidate_source::kTemplate) {
    decision.reason = route_reason::kAffinity;
  } else {
    decision.reason = route_reason::kLeastLoaded;
  }
  return true;
}

}  // namespace quincebank
