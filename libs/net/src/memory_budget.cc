#include "quincebank/net/memory_budget.h"

#include <utility>

namespace quincebank {
namespace {

// Reserved for small requests, in percent of the budget.
constexpr std::size_t kSmallShare = 25;
// Without known limits of the host: thirty times what 300 ordinary requests of 16 KB hold.
constexpr std::size_t kDefaultLimit = std::size_t{128} * 1024 * 1024;

}  // namespace

memory_reservation::~memory_reservation() {
  Set(0);
}

memory_reservation::memory_reservation(memory_reservation&& other) noexcept
    : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0)) {}

memory_reservation& memory_reservation::operator=(memory_reservation&& other) noexcept {
  if (this == &other)
    return *this;
  Set(0);
  budget_ = other.budget_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool memory_reservation::TryGrowTo(std::size_t bytes) {
  if (bytes <= bytes_)
    return true;
  if (!budget_->TryAdd(bytes - bytes_, bytes))
    return false;
  bytes_ = bytes;
  return true;
}

void memory_reservation::Set(std::size_t bytes) noexcept {
  // Unsigned arithmetic wraps, so that this shrinks too.
  budget_->used_ += bytes - bytes_;
  bytes_ = bytes;
}

unfinished_body::unfinished_body(memory_budget& budget, std::function<void()> evict, time_point now)
    : budget_(budget), memory_(budget), evict_(std::move(evict)), last_progress_(now) {
  const std::lock_guard lock(budget_.mutex_);
  budget_.bodies_.push_back(*this);
}

unfinished_body::~unfinished_body() {
  const std::lock_guard lock(budget_.mutex_);
  if (!evicted_)
    budget_.bodies_.erase(budget_.bodies_.iterator_to(*this));
}

void unfinished_body::OnProgress(time_point now) {
  const std::lock_guard lock(budget_.mutex_);
  last_progress_ = now;
  if (!evicted_)
    budget_.bodies_.splice(budget_.bodies_.end(), budget_.bodies_,
                           budget_.bodies_.iterator_to(*this));
}

memory_budget& memory_budget::OfProcess() noexcept {
  static memory_budget budget(kDefaultLimit);
  return budget;
}

bool memory_budget::TryAdd(std::size_t added, std::size_t total) noexcept {
  const std::size_t limit = limit_;
  const std::size_t allowed = total <= kSmallBytes ? limit : limit - limit * kSmallShare / 100;
  std::size_t used = used_;
  do {
    if (used + added > allowed)
      return false;
  } while (!used_.compare_exchange_weak(used, used + added));
  return true;
}

bool memory_budget::EvictStalled(std::size_t bytes, time_point now) {
  const std::lock_guard lock(mutex_);
  std::size_t freed = 0;
  bool any = false;
  while (freed < bytes && !bodies_.empty() && bodies_.front().last_progress_ + kStallTime <= now) {
    unfinished_body& stalled = bodies_.front();
    bodies_.pop_front();
    stalled.evicted_ = true;
    stalled.evict_();
    freed += stalled.memory_.bytes();
    ++evictions_;
    any = true;
  }
  return any;
}

}  // namespace quincebank
