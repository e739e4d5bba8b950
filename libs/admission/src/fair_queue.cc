#include "quincebank/admission/fair_queue.h"

#include <algorithm>
#include <bit>

namespace quincebank {
namespace {

// Virtual time of one unit of cost at weight 1. Weights above it would be served for free; at
// 10,000 requests a second the virtual time lasts for decades.
constexpr std::uint64_t kUnit = 1U << 20U;

std::uint32_t WeightOf(const admission_request& request) noexcept {
  return std::clamp<std::uint32_t>(request.weight, 1, kUnit);
}

std::uint64_t ChargeOf(std::uint32_t cost, std::uint32_t weight) noexcept {
  return std::max<std::uint64_t>(1, std::max<std::uint32_t>(cost, 1) * kUnit / weight);
}

std::uint8_t PriorityOf(const admission_request& request) noexcept {
  return std::min(request.priority, kHighestPriority);
}

}  // namespace

fair_queue::fair_queue(std::size_t capacity, std::size_t idle_capacity)
    : idle_capacity_(idle_capacity),
      buckets_(std::bit_ceil(capacity + idle_capacity + 1)),
      table_(flow_table::bucket_traits(buckets_.data(), buckets_.size())) {
  Reserve(capacity);
}

void fair_queue::Reserve(std::size_t capacity) {
  // One more than both bounds, for the flow that is being created.
  const std::size_t wanted = capacity + idle_capacity_ + 1;
  while (flows_.size() < wanted)
    unused_.push_back(flows_.emplace_back());
  if (wanted <= buckets_.size())
    return;
  std::vector<flow_table::bucket_type> buckets(std::bit_ceil(wanted));
  table_.rehash(flow_table::bucket_traits(buckets.data(), buckets.size()));
  buckets_.swap(buckets);
}

fair_queue::~fair_queue() {
  for (workspace_flow& flow : flows_)
    flow.queued.clear();
}

workspace_flow* fair_queue::FindFlow(std::uint64_t workspace) {
  const auto found = table_.find(workspace);
  return found == table_.end() ? nullptr : &*found;
}

const workspace_flow* fair_queue::FindFlow(std::uint64_t workspace) const {
  const auto found = table_.find(workspace);
  return found == table_.end() ? nullptr : &*found;
}

workspace_flow& fair_queue::FlowOf(const admission_request& request) {
  workspace_flow* flow = FindFlow(request.workspace);
  if (flow == nullptr) {
    if (unused_.empty())
      Forget(idle_.front());
    flow = &unused_.front();
    unused_.pop_front();
    flow->workspace = request.workspace;
    flow->finish = 0;
    flow->weight = WeightOf(request);
    table_.insert(*flow);
    idle_.push_back(*flow);
  }
  SetWeight(*flow, WeightOf(request));
  return *flow;
}

void fair_queue::SetWeight(workspace_flow& flow, std::uint32_t weight) {
  if (flow.weight == weight)
    return;
  // A workspace under constant load never empties its queue, so a changed weight applies at once.
  if (!flow.queued.empty())
    active_weight_ += std::uint64_t{weight} - flow.weight;
  flow.weight = weight;
  if (!flow.queued.empty())
    UpdateTail(flow);
}

void fair_queue::Forget(workspace_flow& flow) {
  idle_.erase(idle_.iterator_to(flow));
  table_.erase(table_.iterator_to(flow));
  unused_.push_back(flow);
}

void fair_queue::TrimIdle() {
  // Forgetting a flow whose finish time has passed loses nothing; beyond the bound, the flow that
  // was idle for longest loses the rest of one request's charge.
  while (!idle_.empty() && (idle_.front().finish <= virtual_time_ || idle_.size() > idle_capacity_))
    Forget(idle_.front());
}

void fair_queue::UpdateTail(workspace_flow& flow) {
  by_tail_.erase(by_tail_.iterator_to(flow));
  flow.tail = flow.start + flow.queued.size() * kUnit / flow.weight;
  by_tail_.insert(flow);
}

void fair_queue::Push(admission_entry& entry, const admission_request& request) {
  workspace_flow& flow = FlowOf(request);
  entry.sequence = ++sequence_;
  entry.cost = request.cost;
  entry.priority = PriorityOf(request);
  entry.flow = &flow;
  const bool first = flow.queued.empty();
  flow.queued.insert(entry);
  ++flow.by_priority.at(entry.priority);
  ++size_;
  if (first) {
    idle_.erase(idle_.iterator_to(flow));
    flow.start = std::max(virtual_time_, flow.finish);
    flow.sequence = sequence_;
    flow.tail = flow.start + kUnit / flow.weight;
    active_weight_ += flow.weight;
    backlogged_.insert(flow);
    by_tail_.insert(flow);
  } else {
    UpdateTail(flow);
  }
}

void fair_queue::Detach(admission_entry& entry) {
  workspace_flow& flow = *entry.flow;
  flow.queued.erase(flow.queued.iterator_to(entry));
  --flow.by_priority.at(entry.priority);
  --size_;
  entry.flow = nullptr;
  if (!flow.queued.empty()) {
    UpdateTail(flow);
    return;
  }
  backlogged_.erase(backlogged_.iterator_to(flow));
  by_tail_.erase(by_tail_.iterator_to(flow));
  active_weight_ -= flow.weight;
  idle_.push_back(flow);
  TrimIdle();
}

admission_entry* fair_queue::Pop() {
  if (backlogged_.empty())
    return nullptr;
  workspace_flow& flow = *backlogged_.begin();
  admission_entry& entry = *flow.queued.begin();
  virtual_time_ = std::max(virtual_time_, flow.start);
  flow.finish = flow.start + ChargeOf(entry.cost, flow.weight);
  backlogged_.erase(backlogged_.begin());
  flow.start = flow.finish;
  flow.sequence = ++sequence_;
  backlogged_.insert(flow);
  Detach(entry);
  return &entry;
}

void fair_queue::Remove(admission_entry& entry) {
  Detach(entry);
}

void fair_queue::Charge(const admission_request& request) {
  workspace_flow& flow = FlowOf(request);
  const std::uint64_t start = std::max(virtual_time_, flow.finish);
  virtual_time_ = start;
  flow.finish = start + ChargeOf(request.cost, WeightOf(request));
  if (flow.queued.empty()) {
    idle_.erase(idle_.iterator_to(flow));
    idle_.push_back(flow);
  }
  TrimIdle();
}

std::size_t fair_queue::Ahead(const admission_request& request) const {
  const workspace_flow* const flow = FindFlow(request.workspace);
  // Virtual time until the request starts.
  std::uint64_t until = 0;
  if (flow != nullptr && !flow->queued.empty()) {
    std::size_t own = 0;
    for (std::size_t p = PriorityOf(request); p < flow->by_priority.size(); ++p)
      own += flow->by_priority.at(p);
    until = flow->start - std::min(flow->start, virtual_time_) + own * kUnit / flow->weight;
  } else if (flow != nullptr) {
    until = flow->finish - std::min(flow->finish, virtual_time_);
  }
  // In one unit of virtual time each workspace is served by its weight. Of those whose start times
  // equal that of the request, half are ahead on average.
  const std::uint64_t ahead = until * active_weight_ / kUnit + backlogged_.size() / 2;
  return std::min<std::size_t>(size_, ahead);
}

admission_entry* fair_queue::Victim(const admission_request& request) {
  if (by_tail_.empty())
    return nullptr;
  workspace_flow& furthest = *by_tail_.begin();
  admission_entry& last = *furthest.queued.rbegin();
  workspace_flow* const own = FindFlow(request.workspace);
  const bool waiting = own != nullptr && !own->queued.empty();
  if (own != &furthest) {
    const std::uint64_t used =
        own == nullptr ? virtual_time_ : std::max(virtual_time_, own->finish);
    const std::uint64_t before = waiting ? own->tail : used;
    if (before + kUnit / WeightOf(request) < furthest.tail)
      return &last;
  }
  // A workspace may replace its own work of a lower priority.
  if (!waiting)
    return nullptr;
  admission_entry& own_last = *own->queued.rbegin();
  return own_last.priority < PriorityOf(request) ? &own_last : nullptr;
}

admission_entry* fair_queue::Last() {
  return by_tail_.empty() ? nullptr : &*by_tail_.begin()->queued.rbegin();
}

}  // namespace quincebank
