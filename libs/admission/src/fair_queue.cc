#include "quincebank/admission/fair_queue.h"

#include <algorithm>
#include <bit>

namespace quincebank {
namespace {

// Virtual time of one unit of cost at weight 1. It is also the maximum weight, since a higher one
// would round the cost of a request to zero. At 10,000 requests per second the 64-bit virtual time
// overflows only after decades.
constexpr std::uint64_t kVirtualTimeUnit = 1U << 20U;

std::uint32_t ClampedWeight(const admission_request& request) noexcept {
  return std::clamp<std::uint32_t>(request.weight, 1, kVirtualTimeUnit);
}

std::uint64_t VirtualTimeCost(std::uint32_t cost, std::uint32_t weight) noexcept {
  return std::max<std::uint64_t>(1, std::max<std::uint32_t>(cost, 1) * kVirtualTimeUnit / weight);
}

std::uint8_t ClampedPriority(const admission_request& request) noexcept {
  return std::min(request.priority, kHighestPriority);
}

}  // namespace

fair_queue::fair_queue(std::size_t capacity, std::size_t idle_capacity)
    : idle_capacity_(idle_capacity),
      buckets_(std::bit_ceil(capacity + idle_capacity + 1)),
      flows_by_workspace_(flow_table::bucket_traits(buckets_.data(), buckets_.size())) {
  Reserve(capacity);
}

void fair_queue::Reserve(std::size_t capacity) {
  // One flow more than both capacities, for the one being created in `FindOrCreateFlow`.
  const std::size_t required = capacity + idle_capacity_ + 1;
  while (flow_pool_.size() < required)
    free_flows_.push_back(flow_pool_.emplace_back());
  if (required <= buckets_.size())
    return;
  std::vector<flow_table::bucket_type> buckets(std::bit_ceil(required));
  flows_by_workspace_.rehash(flow_table::bucket_traits(buckets.data(), buckets.size()));
  buckets_.swap(buckets);
}

fair_queue::~fair_queue() {
  for (workspace_flow& flow : flow_pool_)
    flow.queued.clear();
}

workspace_flow* fair_queue::FindFlow(std::uint64_t workspace) {
  const auto found = flows_by_workspace_.find(workspace);
  return found == flows_by_workspace_.end() ? nullptr : &*found;
}

const workspace_flow* fair_queue::FindFlow(std::uint64_t workspace) const {
  const auto found = flows_by_workspace_.find(workspace);
  return found == flows_by_workspace_.end() ? nullptr : &*found;
}

workspace_flow& fair_queue::FindOrCreateFlow(const admission_request& request) {
  workspace_flow* flow = FindFlow(request.workspace);
  if (flow == nullptr) {
    if (free_flows_.empty())
      ReleaseFlow(idle_flows_.front());
    flow = &free_flows_.front();
    free_flows_.pop_front();
    flow->workspace = request.workspace;
    flow->finish_tag = 0;
    flow->weight = ClampedWeight(request);
    flows_by_workspace_.insert(*flow);
    idle_flows_.push_back(*flow);
  }
  SetWeight(*flow, ClampedWeight(request));
  return *flow;
}

void fair_queue::SetWeight(workspace_flow& flow, std::uint32_t weight) {
  if (flow.weight == weight)
    return;
  // Waiting for an empty queue would never apply the weight of a workspace under constant load.
  if (!flow.queued.empty())
    active_weight_ += std::uint64_t{weight} - flow.weight;
  flow.weight = weight;
  if (!flow.queued.empty())
    UpdateLastFinishTag(flow);
}

void fair_queue::ReleaseFlow(workspace_flow& flow) {
  idle_flows_.erase(idle_flows_.iterator_to(flow));
  flows_by_workspace_.erase(flows_by_workspace_.iterator_to(flow));
  free_flows_.push_back(flow);
}

void fair_queue::EvictIdleFlows() {
  // A flow whose finish tag has passed holds no information. Above the capacity, the least recently
  // used flow is released early, which drops the rest of its last request's charge.
  while (!idle_flows_.empty() &&
         (idle_flows_.front().finish_tag <= virtual_time_ || idle_flows_.size() > idle_capacity_))
    ReleaseFlow(idle_flows_.front());
}

void fair_queue::UpdateLastFinishTag(workspace_flow& flow) {
  by_last_finish_.erase(by_last_finish_.iterator_to(flow));
  flow.last_finish_tag = flow.start_tag + flow.queued.size() * kVirtualTimeUnit / flow.weight;
  by_last_finish_.insert(flow);
}

void fair_queue::Push(admission_entry& entry, const admission_request& request) {
  workspace_flow& flow = FindOrCreateFlow(request);
  entry.sequence = ++sequence_;
  entry.cost = request.cost;
  entry.priority = ClampedPriority(request);
  entry.flow = &flow;
  const bool first = flow.queued.empty();
  flow.queued.insert(entry);
  ++flow.queued_by_priority.at(entry.priority);
  ++size_;
  if (first) {
    idle_flows_.erase(idle_flows_.iterator_to(flow));
    flow.start_tag = std::max(virtual_time_, flow.finish_tag);
    flow.sequence = sequence_;
    flow.last_finish_tag = flow.start_tag + kVirtualTimeUnit / flow.weight;
    active_weight_ += flow.weight;
    backlogged_.insert(flow);
    by_last_finish_.insert(flow);
  } else {
    UpdateLastFinishTag(flow);
  }
}

void fair_queue::Detach(admission_entry& entry) {
  workspace_flow& flow = *entry.flow;
  flow.queued.erase(flow.queued.iterator_to(entry));
  --flow.queued_by_priority.at(entry.priority);
  --size_;
  entry.flow = nullptr;
  if (!flow.queued.empty()) {
    UpdateLastFinishTag(flow);
    return;
  }
  backlogged_.erase(backlogged_.iterator_to(flow));
  by_last_finish_.erase(by_last_finish_.iterator_to(flow));
  active_weight_ -= flow.weight;
  idle_flows_.push_back(flow);
  EvictIdleFlows();
}

admission_entry* fair_queue::Pop() {
  if (backlogged_.empty())
    return nullptr;
  workspace_flow& flow = *backlogged_.begin();
  admission_entry& entry = *flow.queued.begin();
  virtual_time_ = std::max(virtual_time_, flow.start_tag);
  flow.finish_tag = flow.start_tag + VirtualTimeCost(entry.cost, flow.weight);
  backlogged_.erase(backlogged_.begin());
  flow.start_tag = flow.finish_tag;
  flow.sequence = ++sequence_;
  backlogged_.insert(flow);
  Detach(entry);
  return &entry;
}

void fair_queue::Remove(admission_entry& entry) {
  Detach(entry);
}

void fair_queue::Charge(const admission_request& request) {
  workspace_flow& flow = FindOrCreateFlow(request);
  const std::uint64_t start_tag = std::max(virtual_time_, flow.finish_tag);
  virtual_time_ = start_tag;
  flow.finish_tag = start_tag + VirtualTimeCost(request.cost, ClampedWeight(request));
  if (flow.queued.empty()) {
    idle_flows_.erase(idle_flows_.iterator_to(flow));
    idle_flows_.push_back(flow);
  }
  EvictIdleFlows();
}

std::size_t fair_queue::EstimateAhead(const admission_request& request) const {
  const workspace_flow* const flow = FindFlow(request.workspace);
  // Virtual time until the request would be served.
  std::uint64_t virtual_wait = 0;
  if (flow != nullptr && !flow->queued.empty()) {
    std::size_t own_ahead = 0;
    for (std::size_t p = ClampedPriority(request); p < flow->queued_by_priority.size(); ++p)
      own_ahead += flow->queued_by_priority.at(p);
    virtual_wait = flow->start_tag - std::min(flow->start_tag, virtual_time_) +
                   own_ahead * kVirtualTimeUnit / flow->weight;
  } else if (flow != nullptr) {
    virtual_wait = flow->finish_tag - std::min(flow->finish_tag, virtual_time_);
  }
  // Per unit of virtual time, each workspace is served as many requests as its weight. Of the
  // workspaces whose start tag equals that of the request, half are ahead on average.
  const std::uint64_t ahead =
      virtual_wait * active_weight_ / kVirtualTimeUnit + backlogged_.size() / 2;
  return std::min<std::size_t>(size_, ahead);
}

admission_entry* fair_queue::FindVictim(const admission_request& request) {
  if (by_last_finish_.empty())
    return nullptr;
  workspace_flow& last_flow = *by_last_finish_.begin();
  admission_entry& last = *last_flow.queued.rbegin();
  workspace_flow* const own_flow = FindFlow(request.workspace);
  const bool has_queued = own_flow != nullptr && !own_flow->queued.empty();
  if (own_flow != &last_flow) {
    const std::uint64_t idle_finish_tag =
        own_flow == nullptr ? virtual_time_ : std::max(virtual_time_, own_flow->finish_tag);
    const std::uint64_t own_finish_tag = has_queued ? own_flow->last_finish_tag : idle_finish_tag;
    if (own_finish_tag + kVirtualTimeUnit / ClampedWeight(request) < last_flow.last_finish_tag)
      return &last;
  }
  // A request may displace one of lower priority from the same workspace.
  if (!has_queued)
    return nullptr;
  admission_entry& own_last = *own_flow->queued.rbegin();
  return own_last.priority < ClampedPriority(request) ? &own_last : nullptr;
}

admission_entry* fair_queue::Last() {
  return by_last_finish_.empty() ? nullptr : &*by_last_finish_.begin()->queued.rbegin();
}

}  // namespace quincebank
