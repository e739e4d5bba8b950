// Requests whose upstream is silent.

#include <algorithm>
#include <utility>

#include "forward_flow.h"
#include "quincebank/base/clock.h"

namespace quincebank {
namespace {

// Time between two searches for an upstream that takes a request over.
constexpr milliseconds kSuccessorSearchPeriod{100};

}  // namespace

bool forward_flow::RetryAllowed() const {
  return position_.CanResume() && possible_runs_ + 1 < route_->max_attempts && sends_ < kMaxSends;
}

std::optional<milliseconds> forward_flow::OnSilence(const known_upstream& upstream) {
  const milliseconds left = TimeLeft();
  if (left <= milliseconds(0) || !answer_needed_)
    return std::nullopt;
  if (const auto rest = ReportSilence())
    return std::min(left, *rest);
  if (!route_->MayRetry() || !RetryAllowed())
    return left;
  const time_point now = Now();
  const bool began = !std::exchange(is_silent_, true);
  // The other ranks of the group are silent too.
  if (began && upstream.record.group)
    stalled_groups_.push_back(upstream.record.group->group);
  if (began || now >= next_successor_search_) {
    TryReserveSuccessor();
    next_successor_search_ = now + kSuccessorSearchPeriod;
  }
  if (successor_)
    return std::nullopt;
  if (began) {
    upstream.health->OnSilent(now);
    upstream.health->observations().OnTimeout(silence_began_at_, now);
    shared_.log.Write(event_line("upstream.silent")
                          .Add("upstream", upstream.record.id)
                          .Add("request", request_.attempt_id)
                          .Add("ms", Elapsed()));
  }
  return std::min(left, kSuccessorSearchPeriod);
}

void forward_flow::TryReserveSuccessor() {
  if (!MayBeSent() || TimeLeft() < kMinTimeLeft ||
      !shared_.QueueFor(service_->name).requests.empty() ||
      shared_.BlockedTime(request_.shared_segments).count() > 0)
    return;
  retry_budget& budget = shared_.RetryBudgetFor(service_->name);
  if (budget.tokens() < 1)
    return;
  const auto snapshot = shared_.snapshots.Get();
  std::vector<const known_upstream*> eligible;
  const std::vector<placement_candidate> candidates = FindCandidates(*snapshot, eligible, {});
  const placement placed = ChooseUpstream(candidates, shared_.random, placed_request_);
  if (!placed.chosen || placed.is_fallback)
    return;
  const placement_candidate& chosen = candidates[*placed.chosen];
  // In the queue of an upstream the request would be silent again.
  if (chosen.in_flight + chosen.reported.value_or(0) >= chosen.slots || !budget.TryTakeToken())
    return;
  successor_ = reserved_upstream{*eligible[*placed.chosen], chosen};
  successor_->upstream.health->OnSend(successor_->upstream.limit, Now());
}

void forward_flow::ReleaseSuccessor() {
  if (!successor_)
    return;
  successor_->upstream.health->OnEnd(attempt_outcome::kAbandoned, Now());
  shared_.RetryBudgetFor(service_->name).ReturnToken();
  successor_.reset();
}

}  // namespace quincebank
