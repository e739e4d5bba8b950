#include "quincebank/placement/waiting_line.h"

#include <algorithm>

namespace quincebank {
namespace {

admission_request ToAdmission(const line_request& request) {
  admission_request admission;
  admission.workspace = request.workspace;
  admission.cost = std::max<std::uint32_t>(request.cost, 1);
  return admission;
}

}  // namespace

fair_queue& waiting_line::QueueOf(int priority) {
  return queues_.try_emplace(priority, capacity_, kIdleWorkspaces).first->second;
}

bool waiting_line::Enter(place& waiting, const line_request& request) {
  if (size_ >= capacity_)
    return false;
  waiting.priority = request.priority;
  waiting.waits = true;
  QueueOf(request.priority).Push(waiting.entry, ToAdmission(request));
  ++size_;
  return true;
}

bool waiting_line::IsFirst(const place& waiting) const {
  for (const auto& [priority, queue] : queues_) {
    if (!queue.empty())
      return queue.First() == &waiting.entry;
  }
  return false;
}

void waiting_line::Serve(place& waiting) {
  fair_queue& queue = QueueOf(waiting.priority);
  if (queue.First() == &waiting.entry)
    (void)queue.Pop();
  else
    queue.Remove(waiting.entry);
  waiting.waits = false;
  --size_;
}

void waiting_line::Leave(place& waiting) {
  if (!waiting.waits)
    return;
  QueueOf(waiting.priority).Remove(waiting.entry);
  waiting.waits = false;
  --size_;
}

void waiting_line::Charge(const line_request& request) {
  QueueOf(request.priority).Charge(ToAdmission(request));
}

}  // namespace quincebank
