#include "quincebank/placement/wait_queue.h"

#include <algorithm>

namespace quincebank {
namespace {

admission_request ToAdmission(const wait_queue_request& request) {
  admission_request admission;
  admission.workspace = request.workspace;
  admission.cost = std::max<std::uint32_t>(request.cost, 1);
  return admission;
}

}  // namespace

fair_queue& wait_queue::QueueOf(int priority) {
  return queues_.try_emplace(priority, capacity_, kMaxIdleWorkspaces).first->second;
}

bool wait_queue::TryEnqueue(waiter& waiting, const wait_queue_request& request) {
  if (size_ >= capacity_)
    return false;
  waiting.priority = request.priority;
  waiting.queued = true;
  QueueOf(request.priority).Push(waiting.entry, ToAdmission(request));
  ++size_;
  return true;
}

bool wait_queue::IsFirst(const waiter& waiting) const {
  for (const auto& [priority, queue] : queues_) {
    if (!queue.empty())
      return queue.First() == &waiting.entry;
  }
  return false;
}

void wait_queue::Dequeue(waiter& waiting) {
  fair_queue& queue = QueueOf(waiting.priority);
  if (queue.First() == &waiting.entry)
    (void)queue.Pop();
  else
    queue.Remove(waiting.entry);
  waiting.queued = false;
  --size_;
}

void wait_queue::Remove(waiter& waiting) {
  if (!waiting.queued)
    return;
  QueueOf(waiting.priority).Remove(waiting.entry);
  waiting.queued = false;
  --size_;
}

void wait_queue::Charge(const wait_queue_request& request) {
  QueueOf(request.priority).Charge(ToAdmission(request));
}

}  // namespace quincebank
