#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

#include "policy.h"
#include "quincebank/admission/adaptive_throttle.h"
#include "quincebank/admission/retry_budget.h"
#include "quincebank/base/random.h"
#include "upstream.h"

namespace quincebank::bench {

/// Requests a second that the warm upstream serves at its knee: the work of one takes 1 s on
/// average.
inline constexpr double kCapacity = batching_upstream::kWarmKnee;

/// \brief One run of callers, a policy and an upstream. Times are virtual seconds.
struct run_settings {
  std::uint64_t seed = 1;
  double duration = 330;
  double measure_from = 30;  ///< Requests that arrive earlier are not counted.
  /// Load in multiples of the capacity at a time.
  std::function<double(double)> load = [](double) { return 1.0; };
  /// Workspace of the next request.
  std::function<std::uint64_t(random_source&)> workspace = [](random_source&) { return 0; };
  bool cold = false;
  std::optional<double> crash_at;
  std::optional<double> turn_cold_at;  ///< Without a new boot number.
  int max_attempts = 1;
  bool budget = false;
  /// Entries that follow rejections with `backoff_after`; 0 for none.
  std::size_t following_entries = 0;
};

struct workspace_result {
  std::uint64_t requests = 0;
  std::uint64_t good = 0;
};

struct run_result {
  std::uint64_t requests = 0;
  std::uint64_t attempts = 0;
  std::uint64_t good = 0;      ///< Answered within the deadline.
  std::uint64_t rejected = 0;  ///< Attempts rejected as not run by the policy.
  std::uint64_t held = 0;      ///< Attempts rejected by an entry without asking the policy.
  std::uint64_t crashes = 0;
  double good_work = 0;    ///< Seconds of work answered within the deadline.
  double wasted_work = 0;  ///< Seconds of work done for answers that came too late or never.
  std::vector<double> latencies;
  std::unordered_map<std::uint64_t, workspace_result> workspaces;
  std::vector<std::uint32_t> good_per_second;  ///< By arrival.

  /// \brief Good work in multiples of the capacity.
  [[nodiscard]] double Goodput(const run_settings& settings) const;
  [[nodiscard]] double P95() const;
};

/// \brief Event loop with a virtual clock.
class simulation {
 public:
  simulation(const run_settings& settings, std::unique_ptr<policy> admission);

  [[nodiscard]] run_result Run();

 private:
  enum class event_kind : std::uint8_t {
    kArrival,
    kAttempt,
    kTimeout,
    kTick,
    kReport,
    kCrash,
    kTurnCold,
    kBooted
  };
  struct event {
    double at = 0;
    std::uint64_t order = 0;
    event_kind kind = event_kind::kTick;
    std::uint64_t id = 0;

    [[nodiscard]] bool operator<(const event& other) const noexcept {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct request {
    std::uint64_t workspace = 0;
    double arrived = 0;
    double work = 0;
    double patience = 0;  ///< Seconds until an attempt has failed.
    int attempts = 0;
    bool measured = false;
  };
  struct attempt {
    std::uint64_t request = 0;
    double begun = 0;
    std::size_t entry = 0;
    bool running = false;
  };

  void Schedule(double at, event_kind kind, std::uint64_t id = 0);
  void Handle(const event& next);
  void Arrive();
  void BeginAttempt(std::uint64_t request_id);
  void TimeOut(std::uint64_t attempt_id);
  /// Reports the progress of all running attempts, as an agent does that sees tokens arrive.
  void Report();
  void Complete(const batching_upstream::completion& done);
  void Fail(const std::vector<std::uint64_t>& attempt_ids);
  void Apply(const policy_step& step);
  /// Tells the entry of an attempt how the policy decided.
  void Follow(const attempt& decided, std::optional<milliseconds> retry_after);
  /// Ends an attempt that brought no answer; the caller may repeat it.
  void EndAttempt(std::uint64_t attempt_id);

  const run_settings settings_;
  std::unique_ptr<policy> policy_;
  batching_upstream upstream_;
  random_source random_;
  retry_budget budget_;
  std::vector<adaptive_throttle> entries_;
  std::priority_queue<event> events_;
  std::vector<request> requests_;
  std::unordered_map<std::uint64_t, attempt> attempts_;
  std::uint64_t next_attempt_ = 0;
  std::uint64_t next_order_ = 0;
  double now_ = 0;
  double reported_at_ = 0;
  double reported_attained_ = 0;
  run_result result_;
};

}  // namespace quincebank::bench
