#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "quincebank/base/random.h"
#include "quincebank/base/time.h"

namespace quincebank::scenario {

/// \brief Wall-clock time at the start of every script.
inline constexpr wall_time kScenarioStart{seconds(1'800'000'000)};

/// \brief Virtual clock, its events, and the processes that the events belong to.
///
/// Events at the same time run in the order in which they were added. An event of a paused
/// process runs when the pause is over; an event of a dead life of a process never runs.
class event_loop {
 public:
  using task = std::function<void()>;

  explicit event_loop(std::uint64_t seed);

  [[nodiscard]] time_point now() const noexcept { return now_; }
  [[nodiscard]] wall_time wall() const noexcept;
  [[nodiscard]] random_source& random() noexcept { return random_; }
  /// \brief Draws a duration between two bounds.
  [[nodiscard]] nanoseconds Between(nanoseconds low, nanoseconds high) noexcept;

  void Start(const std::string& node);
  void Kill(const std::string& node);
  void Pause(const std::string& node, milliseconds span);
  [[nodiscard]] bool Known(const std::string& node) const { return nodes_.contains(node); }
  [[nodiscard]] bool Alive(const std::string& node) const;
  /// \brief Returns the number of the present life; 0 for an unknown node.
  [[nodiscard]] std::uint64_t Life(const std::string& node) const;

  /// \brief Adds an event of the present life of a node.
  void After(nanoseconds delay, const std::string& node, task work);
  /// \brief Adds an event of one life; life 0 stands for any.
  void AfterInLife(nanoseconds delay, const std::string& node, std::uint64_t life, task work);

  /// \brief Runs the next event, if one is due by `limit`; else moves the clock to `limit`.
  ///
  /// \returns False if no event was due.
  bool Step(time_point limit);
  [[nodiscard]] bool empty() const noexcept { return events_.empty(); }

 private:
  struct node_state {
    std::uint64_t life = 0;
    bool alive = false;
    time_point paused_until;
  };
  struct event {
    time_point at;
    std::uint64_t order = 0;
    std::string node;
    std::uint64_t life = 0;
    task work;
  };
  struct later {
    bool operator()(const event& a, const event& b) const noexcept {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };

  random_source random_;
  time_point now_;
  std::uint64_t next_order_ = 0;
  std::priority_queue<event, std::vector<event>, later> events_;
  std::map<std::string, node_state> nodes_;
};

}  // namespace quincebank::scenario
