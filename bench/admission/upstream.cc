#include "upstream.h"

#include <algorithm>

namespace quincebank::bench {

batching_upstream::batching_upstream(bool cold) noexcept : cold_(cold) {}

double batching_upstream::Knee() const noexcept {
  return cold_ ? std::min(kWarmKnee, kColdKnee + warmth_ / kWorkPerStep) : kWarmKnee;
}

double batching_upstream::Speed() const noexcept {
  const auto batch = static_cast<double>(running_.size());
  const double knee = Knee();
  if (batch <= knee)
    return 1;
  const double shared = knee / batch;
  return batch <= 2 * knee ? shared : shared * (2 * knee / batch);
}

void batching_upstream::Advance(double now) noexcept {
  attained_ += (now - last_) * Speed();
  last_ = now;
}

double batching_upstream::Attained(double now) noexcept {
  Advance(now);
  return attained_;
}

bool batching_upstream::Start(std::uint64_t id, double work, double now) {
  if (down(now))
    return false;
  Advance(now);
  running_.emplace(id, running_work{attained_, attained_ + work});
  order_.push({attained_ + work, id});
  return true;
}

double batching_upstream::Cancel(std::uint64_t id, double now) {
  Advance(now);
  const auto found = running_.find(id);
  if (found == running_.end())
    return 0;
  const double done = attained_ - found->second.begin;
  running_.erase(found);
  return done;
}

std::optional<batching_upstream::completion> batching_upstream::Next() {
  while (!order_.empty() && !running_.contains(order_.top().id))
    order_.pop();
  if (order_.empty())
    return std::nullopt;
  const double left = std::max(0.0, order_.top().end - attained_);
  return completion{order_.top().id, last_ + left / Speed()};
}

void batching_upstream::Finish(const completion& done) {
  Advance(done.at);
  running_.erase(done.id);
  order_.pop();
  warmth_ += 1;
}

std::vector<std::uint64_t> batching_upstream::Crash(double now) {
  Advance(now);
  std::vector<std::uint64_t> failed;
  failed.reserve(running_.size());
  for (const auto& [id, work] : running_)
    failed.push_back(id);
  // Hash order differs between libraries; the results must not.
  std::sort(failed.begin(), failed.end());
  running_.clear();
  order_ = {};
  down_until_ = now + kRestartSeconds;
  ++boot_;
  cold_ = true;
  warmth_ = 0;
  return failed;
}

void batching_upstream::TurnCold(double now) {
  Advance(now);
  cold_ = true;
  warmth_ = 0;
}

std::vector<std::uint64_t> batching_upstream::CrashIfOverloaded(double now) {
  const bool warm = Knee() >= kWarmKnee;
  if (warm || static_cast<double>(running_.size()) <= kCrashFactor * Knee())
    return {};
  return Crash(now);
}

}  // namespace quincebank::bench
