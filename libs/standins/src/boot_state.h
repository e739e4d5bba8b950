#pragma once

#include <algorithm>
#include <cstdint>

#include "quincebank/base/random.h"
#include "quincebank/base/time.h"
#include "quincebank/standins/standin.h"

namespace quincebank {

/// \brief Cold start of an upstream stand-in: too much load while cold crashes it.
class boot_state {
 public:
  explicit boot_state(const standin_settings& settings)
      : settings_(settings), random_(settings.seed) {
    Boot();
  }

  /// \brief Starts a request.
  /// \returns False if the upstream is down or crashes under it.
  bool Begin() {
    if (down())
      return false;
    ++running_;
    ++started_;
    last_start_ = std::chrono::steady_clock::now();
    peak_ = std::max(peak_, running_);
    if (cold() && running_ > settings_.cold_limit) {
      ++crashes_;
      Reboot();
      return false;
    }
    return true;
  }

  /// \brief Ends a request that began in the given boot.
  void End(std::uint64_t boot) {
    if (boot != boot_)
      return;
    --running_;
    ++answered_;
  }

  /// \brief Loses all running requests and comes back cold after the restart time.
  void Reboot() {
    Boot();
    down_until_ = std::chrono::steady_clock::now() + settings_.restart_time;
  }

  [[nodiscard]] bool down() const { return std::chrono::steady_clock::now() < down_until_; }
  [[nodiscard]] bool cold() const noexcept { return answered_ < settings_.warm_after; }
  [[nodiscard]] std::uint64_t boot() const noexcept { return boot_; }
  [[nodiscard]] int running() const noexcept { return running_; }
  [[nodiscard]] int crashes() const noexcept { return crashes_; }
  [[nodiscard]] int peak() const noexcept { return peak_; }
  /// \brief Requests that began, over all boots.
  [[nodiscard]] std::int64_t started() const noexcept { return started_; }
  /// \brief Time of the last begin on the monotonic clock, which all processes of a host share; 0
  /// if there was none.
  [[nodiscard]] std::int64_t last_start_us() const noexcept {
    return std::chrono::duration_cast<std::chrono::microseconds>(last_start_.time_since_epoch())
        .count();
  }

 private:
  void Boot() {
    constexpr std::uint64_t kBootRange = 1'000'000'000;
    boot_ = 1 + random_.Below(kBootRange);
    running_ = 0;
    answered_ = 0;
  }

  const standin_settings settings_;
  random_source random_;
  std::uint64_t boot_ = 0;
  int running_ = 0;
  int answered_ = 0;
  int crashes_ = 0;
  int peak_ = 0;
  std::int64_t started_ = 0;
  time_point last_start_{};
  time_point down_until_{};
};

}  // namespace quincebank
