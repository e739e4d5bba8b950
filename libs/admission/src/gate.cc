#include "quincebank/admission/gate.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace quincebank {
namespace {

// Minimum time between two scans of the queue for expired requests, which take linear time.
constexpr milliseconds kExpirySweepInterval{50};
// A ticket holds the generation of its entry in the upper 32 bits and the index in the lower ones.
constexpr unsigned kGenerationShift = 32;

struct rejection_text {
  error_code code;
  std::string_view message;
};

// Indexed by `shed_reason`.
constexpr std::array<rejection_text, 7> kRejectionTexts{{
    {error_code::kInternal, "not refused"},
    {error_code::kDraining, "the upstream is draining"},
    {error_code::kTimeout, "the deadline cannot be met"},
    {error_code::kOverloaded, "the upstream is cold and at its limit"},
    {error_code::kOverloaded, "the queue is full"},
    {error_code::kOverloaded, "displaced from the queue by other work"},
    {error_code::kOverloaded, "the upstream's limit fell"},
}};

}  // namespace

admission_gate::admission_gate(const admission_settings& settings)
    : settings_(Normalized(settings)),
      limit_(settings_.cold_limit, settings_.full_limit, settings_.ramp),
      occupancy_(settings_.expected_service_time),
      queue_(settings_.queue_limit, settings_.idle_workspace_limit) {
  GrowPool();
}

void admission_gate::GrowPool() {
  const std::size_t required = settings_.queue_limit + settings_.full_limit;
  free_indices_.reserve(required);
  while (entries_.size() < required) {
    const auto index = static_cast<std::uint32_t>(entries_.size());
    entries_.emplace_back().index = index;
    free_indices_.push_back(index);
  }
}

void admission_gate::SetLimits(std::size_t cold_limit,
                               std::size_t full_limit,
                               std::size_t queue_limit) {
  admission_settings changed = settings_;
  changed.cold_limit = cold_limit;
  changed.full_limit = full_limit;
  changed.queue_limit = queue_limit;
  settings_ = Normalized(changed);
  limit_.SetBounds(settings_.cold_limit, settings_.full_limit);
  queue_.Reserve(settings_.queue_limit);
  GrowPool();
}

void admission_gate::SetWarmRequests(std::size_t warm_requests) noexcept {
  settings_.ramp.warm_requests = warm_requests;
  limit_.SetWarmRequests(warm_requests);
}

admission_entry* admission_gate::Allocate() noexcept {
  if (free_indices_.empty())
    return nullptr;
  entry& work = entries_[free_indices_.back()];
  free_indices_.pop_back();
  ++work.generation;
  return &work;
}

void admission_gate::Release(entry& work) noexcept {
  work.state = entry::entry_state::kFree;
  free_indices_.push_back(work.index);
}

admission_entry* admission_gate::Find(admission_ticket ticket) noexcept {
  const auto index = static_cast<std::uint32_t>(ticket.value);
  const auto generation = static_cast<std::uint32_t>(ticket.value >> kGenerationShift);
  if (index >= entries_.size())
    return nullptr;
  entry& work = entries_[index];
  const bool current = work.state != entry::entry_state::kFree && work.generation == generation;
  return current ? &work : nullptr;
}

std::size_t admission_gate::QueueLimit() const noexcept {
  if (draining_ || limit_.cold())
    return 0;
  // The queue grows with the limit, so that the wait is no longer during the ramp-up.
  return settings_.queue_limit * limit_.limit() / settings_.full_limit;
}

milliseconds admission_gate::RetryAfter() const noexcept {
  const nanoseconds wait = occupancy_.ExpectedWait(queue_.size(), limit_.limit());
  return std::clamp(std::chrono::duration_cast<milliseconds>(wait), settings_.min_retry_after,
                    settings_.max_retry_after);
}

rejection admission_gate::MakeRejection(shed_reason reason) const {
  const rejection_text& text = kRejectionTexts.at(static_cast<std::size_t>(reason));
  return {reason, MakeError(text.code, std::string(text.message)),
          reason == shed_reason::kDraining ? settings_.max_retry_after : RetryAfter()};
}

bool admission_gate::CanMeetDeadline(const admission_request& request) const noexcept {
  if (!request.deadline)
    return true;
  if (*request.deadline <= milliseconds(0))
    return false;
  // Below the cold limit the estimates are not applied. Estimates from a period of slow service
  // could otherwise reject all the requests that would correct them.
  if (in_flight_ < settings_.cold_limit)
    return true;
  // A free slot is given to any request that can meet its deadline. A contended slot goes only to
  // a request that almost certainly does, since one that misses it wastes the slot.
  if (queue_.empty() && in_flight_ < limit_.limit())
    return occupancy_.p10() <= *request.deadline;
  if (occupancy_.p90() > *request.deadline)
    return false;
  const nanoseconds wait = occupancy_.ExpectedWait(queue_.EstimateAhead(request), limit_.limit());
  return wait + occupancy_.p90() <= *request.deadline;
}

admission_decision admission_gate::Offer(const admission_request& request, time_point now) {
  using kind = admission_decision::kind;
  if (draining_)
    return {kind::kRejected, {}, MakeRejection(shed_reason::kDraining)};
  if (!CanMeetDeadline(request))
    return {kind::kRejected, {}, MakeRejection(shed_reason::kDeadline)};
  const bool busy = !queue_.empty() || in_flight_ >= limit_.limit();
  if (request.hedge && (busy || limit_.cold())) {
    return {kind::kRejected,
            {},
            MakeRejection(limit_.cold() ? shed_reason::kCold : shed_reason::kQueueFull)};
  }
  if (busy)
    return Enqueue(request, now);
  entry* const work = Allocate();
  if (work == nullptr)
    return {kind::kRejected, {}, MakeRejection(shed_reason::kQueueFull)};
  queue_.Charge(request);
  Start(*work, now);
  return {kind::kAdmitted, {std::uint64_t{work->generation} << kGenerationShift | work->index}, {}};
}

admission_decision admission_gate::Enqueue(const admission_request& request, time_point now) {
  using kind = admission_decision::kind;
  const std::size_t queue_limit = QueueLimit();
  if (queue_limit == 0) {
    const shed_reason reason = limit_.cold() ? shed_reason::kCold : shed_reason::kQueueFull;
    return {kind::kRejected, {}, MakeRejection(reason)};
  }
  if (queue_.size() >= queue_limit) {
    entry* const victim = queue_.FindVictim(request);
    if (victim == nullptr)
      return {kind::kRejected, {}, MakeRejection(shed_reason::kQueueFull)};
    Shed(*victim, shed_reason::kDisplaced);
  }
  entry* const work = Allocate();
  if (work == nullptr)
    return {kind::kRejected, {}, MakeRejection(shed_reason::kQueueFull)};
  work->state = entry::entry_state::kQueued;
  work->deadline = request.deadline ? now + *request.deadline : time_point::max();
  queue_.Push(*work, request);
  return {kind::kQueued, {std::uint64_t{work->generation} << kGenerationShift | work->index}, {}};
}

void admission_gate::Start(entry& work, time_point now) noexcept {
  work.state = entry::entry_state::kInFlight;
  work.started = now;
  work.revision = limit_.revision();
  ++in_flight_;
}

void admission_gate::Finish(admission_ticket ticket,
                            work_outcome outcome,
                            milliseconds service_time,
                            time_point now) {
  entry* const work = Find(ticket);
  if (work == nullptr || work->state != entry::entry_state::kInFlight)
    return;
  // Failed requests can end immediately and would bias the estimates towards zero.
  if (outcome == work_outcome::kServed || outcome == work_outcome::kTimedOut)
    occupancy_.Observe(now - work->started);
  limit_.OnFinish(work->revision, outcome, service_time, in_flight_);
  --in_flight_;
  Release(*work);
}

void admission_gate::ReportServiceTime(admission_ticket ticket, milliseconds service_time) {
  const entry* const work = Find(ticket);
  if (work != nullptr && work->state == entry::entry_state::kInFlight)
    limit_.OnProgress(work->revision, service_time, in_flight_);
}

void admission_gate::Cancel(admission_ticket ticket) {
  entry* const work = Find(ticket);
  if (work == nullptr)
    return;
  if (work->state == entry::entry_state::kQueued) {
    queue_.Remove(*work);
  } else {
    --in_flight_;
  }
  Release(*work);
}

void admission_gate::Shed(entry& work, shed_reason reason) {
  queue_.Remove(work);
  shed_.push_back(
      {{std::uint64_t{work.generation} << kGenerationShift | work.index}, MakeRejection(reason)});
  Release(work);
}

void admission_gate::ShedExpired(time_point now) {
  if (now < next_expiry_sweep_ || queue_.empty())
    return;
  next_expiry_sweep_ = now + kExpirySweepInterval;
  const nanoseconds needed = occupancy_.p10();
  std::vector<entry*> expired;
  queue_.ForEach([&](entry& work) {
    if (work.deadline != time_point::max() && work.deadline - now < needed)
      expired.push_back(&work);
  });
  for (entry* work : expired)
    Shed(*work, shed_reason::kDeadline);
}

queue_changes admission_gate::ProcessQueue(time_point now) {
  queue_changes changes;
  const std::size_t queue_limit = QueueLimit();
  while (queue_.size() > queue_limit)
    Shed(*queue_.Last(), draining_ ? shed_reason::kDraining : shed_reason::kLimitLowered);
  ShedExpired(now);
  while (!queue_.empty() && in_flight_ < limit_.limit()) {
    entry& work = *queue_.Pop();
    const admission_ticket ticket{std::uint64_t{work.generation} << kGenerationShift | work.index};
    const nanoseconds needed = queue_.empty() ? occupancy_.p10() : occupancy_.p90();
    if (work.deadline != time_point::max() && work.deadline - now < needed) {
      shed_.push_back({ticket, MakeRejection(shed_reason::kDeadline)});
      Release(work);
      continue;
    }
    Start(work, now);
    changes.admitted.push_back(ticket);
  }
  changes.shed.swap(shed_);
  return changes;
}

void admission_gate::OnUpstreamBoot(std::uint64_t boot_number) {
  const bool changed = boot_number_.has_value() && *boot_number_ != boot_number;
  boot_number_ = boot_number;
  if (changed)
    limit_.ResetToCold();
}

void admission_gate::OnConnectionLost() {
  limit_.ResetToCold();
}

void admission_gate::SetDraining(bool draining) {
  if (draining_ && !draining)
    limit_.ResetToCold();
  draining_ = draining;
}

admission_state admission_gate::State() const noexcept {
  admission_phase phase = admission_phase::kRamping;
  if (draining_) {
    phase = admission_phase::kDraining;
  } else if (limit_.cold()) {
    phase = admission_phase::kCold;
  } else if (limit_.full()) {
    phase = admission_phase::kFull;
  }
  return {in_flight_, queue_.size(), limit_.limit(), phase};
}

}  // namespace quincebank
