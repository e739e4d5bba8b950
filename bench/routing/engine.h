#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "model.h"

namespace quincebank {

/// \brief Least-recently-used set of prompt blocks with a fixed capacity.
class block_cache {
 public:
  explicit block_cache(std::uint32_t capacity);

  /// \returns The number of leading blocks that are in the cache.
  [[nodiscard]] std::uint32_t Match(std::span<const std::uint64_t> blocks) const;
  /// \brief Adds the blocks and lists what was added and evicted.
  void Insert(std::span<const std::uint64_t> blocks,
              std::vector<std::uint64_t>& stored,
              std::vector<std::uint64_t>& evicted);
  void Clear();

 private:
  struct node {
    std::uint64_t hash = 0;
    std::uint32_t previous = 0;
    std::uint32_t next = 0;
  };

  void Unlink(std::uint32_t at);
  void LinkFront(std::uint32_t at);

  std::uint32_t capacity_;
  std::vector<node> nodes_;  // nodes_[0] is the ring's anchor.
  boost::unordered_flat_map<std::uint64_t, std::uint32_t> position_;
};

/// \brief Batch of cache changes that an engine publishes as two events.
struct cache_batch {
  std::uint64_t boot = 0;
  std::uint64_t sequence = 0;
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> evicted;
};

/// \brief One engine and the admission of its agent.
class engine {
 public:
  struct start {
    std::uint32_t request = 0;
    std::uint32_t cached = 0;
    sim_time first_token{0};
    sim_time finish{0};
  };

  explicit engine(const engine_model& model);

  [[nodiscard]] bool up() const noexcept { return up_; }
  [[nodiscard]] bool taking() const noexcept { return up_ && !drained_; }
  [[nodiscard]] std::uint64_t boot() const noexcept { return boot_; }
  [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
  [[nodiscard]] std::uint32_t held() const noexcept {
    return running_ + static_cast<std::uint32_t>(queue_.size());
  }
  [[nodiscard]] std::uint32_t Limit(sim_time now) const noexcept;
  [[nodiscard]] bool Cold(sim_time now) const noexcept { return Limit(now) < model_.limit; }

  void Drain() noexcept { drained_ = true; }
  void Lose();
  /// \brief Starts again, cold and with an empty cache.
  void Return(sim_time now);

  /// \returns Whether the agent takes the request; it then waits until `StartNext` returns it.
  [[nodiscard]] bool Offer(std::uint32_t request, sim_time now);
  /// \returns The request to start now, or `kNone`.
  [[nodiscard]] std::uint32_t Next(sim_time now);
  [[nodiscard]] start Start(std::uint32_t request,
                            std::span<const std::uint64_t> prompt,
                            std::uint32_t tokens,
                            sim_time now);
  void Finish() noexcept { --running_; }

  [[nodiscard]] upstream_load Report(sim_time now) const noexcept;
  /// \brief Takes the cache changes since the last call.
  [[nodiscard]] cache_batch TakeEvents();

  static constexpr std::uint32_t kNone = 0xffffffff;

 private:
  engine_model model_;
  bool up_ = true;
  bool drained_ = false;
  std::uint64_t boot_ = 1;
  std::uint64_t sequence_ = 1;
  sim_time cold_since_{-1};
  std::uint32_t running_ = 0;
  sim_time prefill_free_{0};
  std::deque<std::uint32_t> queue_;
  block_cache cache_;
  std::vector<std::uint64_t> stored_;
  std::vector<std::uint64_t> evicted_;
};

}  // namespace quincebank
