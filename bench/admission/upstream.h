#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace quincebank::bench {

/// \brief Stand-in for a model engine with continuous batching, in virtual seconds.
///
/// Up to `knee` requests at once run at full speed; above it they share the same throughput, and
/// above twice the knee the throughput falls, as in an engine that evicts and recomputes its cache.
/// A cold engine has a small knee that grows with the work done, and crashes above `kCrashFactor`
/// times the knee. After a crash it is down for a while and comes back cold with a new boot number.
class batching_upstream {
 public:
  static constexpr double kWarmKnee = 16;
  static constexpr double kColdKnee = 4;
  /// Finished requests for each step of the knee while warming up.
  static constexpr double kWorkPerStep = 8;
  static constexpr double kCrashFactor = 3;
  static constexpr double kRestartSeconds = 5;

  explicit batching_upstream(bool cold) noexcept;

  struct completion {
    std::uint64_t id = 0;
    double at = 0;
  };

  /// \brief Starts work of the given length in seconds at full speed.
  /// \returns False if the engine is down; the work has then failed.
  [[nodiscard]] bool Start(std::uint64_t id, double work, double now);
  /// \brief Stops work. \returns How much of it was done, in seconds at full speed.
  double Cancel(std::uint64_t id, double now);
  [[nodiscard]] std::optional<completion> Next();
  void Finish(const completion& done);
  /// \brief Crashes at once. \returns The work that failed.
  std::vector<std::uint64_t> Crash(double now);
  /// \brief Turns cold without a restart, as when the engine loses its caches.
  void TurnCold(double now);
  /// \brief Crashes if the engine is cold and holds too much.
  std::vector<std::uint64_t> CrashIfOverloaded(double now);

  /// \brief Returns the seconds of full speed that work running all along has received by now.
  [[nodiscard]] double Attained(double now) noexcept;

  [[nodiscard]] bool down(double now) const noexcept { return now < down_until_; }
  [[nodiscard]] std::uint64_t boot_number() const noexcept { return boot_; }
  [[nodiscard]] std::size_t crashes() const noexcept { return boot_ - 1; }
  [[nodiscard]] double Knee() const noexcept;

 private:
  struct job {
    double end = 0;
    std::uint64_t id = 0;

    [[nodiscard]] bool operator<(const job& other) const noexcept { return end > other.end; }
  };
  struct running_work {
    double begin = 0;
    double end = 0;
  };

  [[nodiscard]] double Speed() const noexcept;
  void Advance(double now) noexcept;

  /// Seconds of full speed that every running request has received since the start.
  double attained_ = 0;
  double last_ = 0;
  double down_until_ = 0;
  double warmth_ = 0;  ///< Requests finished since the boot.
  bool cold_ = false;
  std::uint64_t boot_ = 1;
  std::priority_queue<job> order_;
  std::unordered_map<std::uint64_t, running_work> running_;
};

}  // namespace quincebank::bench
