#include "engine.h"

#include <algorithm>
#include <utility>

namespace quincebank {

block_cache::block_cache(std::uint32_t capacity) : capacity_(capacity), nodes_(1) {
  position_.reserve(capacity);
}

std::uint32_t block_cache::Match(std::span<const std::uint64_t> blocks) const {
  std::uint32_t matched = 0;
  for (const std::uint64_t hash : blocks) {
    if (!position_.contains(hash))
      break;
    ++matched;
  }
  return matched;
}

void block_cache::Insert(std::span<const std::uint64_t> blocks,
                         std::vector<std::uint64_t>& stored,
                         std::vector<std::uint64_t>& evicted) {
  // The deepest block is touched first, so that it is also evicted before those it depends on.
  for (std::size_t i = blocks.size(); i > 0; --i) {
    const std::uint64_t hash = blocks[i - 1];
    const auto known = position_.find(hash);
    if (known != position_.end()) {
      const std::uint32_t at = known->second;
      Unlink(at);
      LinkFront(at);
      continue;
    }
    auto at = static_cast<std::uint32_t>(nodes_.size());
    if (position_.size() >= capacity_) {
      at = nodes_[0].previous;
      Unlink(at);
      evicted.push_back(nodes_[at].hash);
      position_.erase(nodes_[at].hash);
    } else {
      nodes_.emplace_back();
    }
    nodes_[at].hash = hash;
    position_.emplace(hash, at);
    LinkFront(at);
    stored.push_back(hash);
  }
}

void block_cache::Clear() {
  nodes_.assign(1, {});
  position_.clear();
}

void block_cache::Unlink(std::uint32_t at) {
  nodes_[nodes_[at].previous].next = nodes_[at].next;
  nodes_[nodes_[at].next].previous = nodes_[at].previous;
}

void block_cache::LinkFront(std::uint32_t at) {
  nodes_[at].previous = 0;
  nodes_[at].next = nodes_[0].next;
  nodes_[nodes_[0].next].previous = at;
  nodes_[0].next = at;
}

engine::engine(const engine_model& model) : model_(model), cache_(model.cache_blocks) {}

std::uint32_t engine::Limit(sim_time now) const noexcept {
  if (cold_since_.count() < 0)
    return model_.limit;
  constexpr std::int64_t kMaxDoublings = 16;
  const std::int64_t doublings =
      std::min<std::int64_t>((now - cold_since_) / model_.cold_step, kMaxDoublings);
  return std::min(model_.limit, model_.cold_limit << static_cast<unsigned>(doublings));
}

void engine::Lose() {
  up_ = false;
  running_ = 0;
  queue_.clear();
}

void engine::Return(sim_time now) {
  if (!up_)
    running_ = 0;
  up_ = true;
  drained_ = false;
  ++boot_;
  sequence_ = 1;
  cold_since_ = now;
  prefill_free_ = now;
  cache_.Clear();
  stored_.clear();
  evicted_.clear();
}

bool engine::Offer(std::uint32_t request, sim_time now) {
  const std::uint32_t limit = Limit(now);
  // Queued work counts towards a cold upstream's limit.
  const std::uint32_t room = limit < model_.limit ? limit : limit + model_.queue;
  if (!taking() || held() >= room)
    return false;
  queue_.push_back(request);
  return true;
}

std::uint32_t engine::Next(sim_time now) {
  if (queue_.empty() || running_ >= Limit(now))
    return kNone;
  const std::uint32_t request = queue_.front();
  queue_.pop_front();
  return request;
}

engine::start engine::Start(std::uint32_t request,
                            std::span<const std::uint64_t> prompt,
                            std::uint32_t tokens,
                            sim_time now) {
  ++running_;
  start begun{request, cache_.Match(prompt), {}, {}};
  cache_.Insert(prompt, stored_, evicted_);
  const auto missing = static_cast<std::int64_t>(prompt.size()) - begun.cached;
  const std::int64_t slowdown = Cold(now) ? model_.cold_slowdown : 1;
  prefill_free_ = std::max(prefill_free_, now) + model_.block_prefill * (missing * slowdown);
  const sim_time step = model_.step + model_.step_per_request * running_;
  begun.first_token = prefill_free_ + step;
  begun.finish = begun.first_token + step * tokens;
  return begun;
}

upstream_load engine::Report(sim_time now) const noexcept {
  return {.in_flight = running_,
          .queued = static_cast<std::uint32_t>(queue_.size()),
          .limit = Limit(now),
          .cold = Cold(now),
          .closed = !taking()};
}

cache_batch engine::TakeEvents() {
  cache_batch batch{boot_, sequence_, std::exchange(stored_, {}), std::exchange(evicted_, {})};
  constexpr std::uint64_t kEventsPerBatch = 2;
  sequence_ += kEventsPerBatch;
  return batch;
}

}  // namespace quincebank
