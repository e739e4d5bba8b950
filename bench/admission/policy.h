#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "quincebank/admission/gate.h"

namespace quincebank::bench {

/// \brief Converts virtual seconds; the start is not at the epoch, which some code takes for unset.
[[nodiscard]] time_point VirtualTime(double seconds_since_start);

/// \brief One attempt as the policy sees it. Times are virtual seconds.
struct offered_work {
  std::uint64_t id = 0;
  std::uint64_t workspace = 0;
  double deadline = 0;  ///< Absolute.
};

struct rejected_work {
  std::uint64_t id = 0;
  milliseconds retry_after{0};
};

/// \brief What the policy decided in one step.
struct policy_step {
  std::vector<std::uint64_t> start;
  std::vector<rejected_work> reject;
};

/// \brief Admission policy under test; the simulation is its agent.
class policy {
 public:
  policy() = default;
  virtual ~policy() = default;
  policy(const policy&) = delete;
  policy& operator=(const policy&) = delete;

  virtual void Offer(const offered_work& work, double now, policy_step& step) = 0;
  /// \param stretch  service time divided by the time the work takes on an unloaded upstream.
  virtual void Finish(std::uint64_t id,
                      work_outcome outcome,
                      double stretch,
                      double now,
                      policy_step& step) = 0;
  /// \brief Reports the stretch of running work over the last moments.
  virtual void ReportServiceTime(std::uint64_t /*id*/, double /*stretch*/) {}
  /// \brief The caller of queued work has left.
  virtual void Withdraw(std::uint64_t id, double now, policy_step& step) = 0;
  virtual void Tick(double /*now*/, policy_step& /*step*/) {}
  virtual void OnBoot(std::uint64_t /*boot_number*/) {}
};

/// \brief Baseline: everything goes to the upstream at once.
class no_limit : public policy {
 public:
  void Offer(const offered_work& work, double now, policy_step& step) override;
  void Finish(std::uint64_t, work_outcome, double, double, policy_step&) override {}
  void Withdraw(std::uint64_t, double, policy_step&) override {}
};

/// \brief Baseline: a constant limit and one queue in order of arrival.
class fixed_limit : public policy {
 public:
  fixed_limit(std::size_t limit, std::size_t queue_limit);

  void Offer(const offered_work& work, double now, policy_step& step) override;
  void Finish(std::uint64_t id,
              work_outcome outcome,
              double stretch,
              double now,
              policy_step& step) override;
  void Withdraw(std::uint64_t id, double now, policy_step& step) override;

 private:
  const std::size_t limit_;
  const std::size_t queue_limit_;
  std::size_t in_flight_ = 0;
  std::deque<std::uint64_t> queue_;
};

/// \brief The library's `admission_gate`.
class gate_policy : public policy {
 public:
  explicit gate_policy(const admission_settings& settings);

  void Offer(const offered_work& work, double now, policy_step& step) override;
  void Finish(std::uint64_t id,
              work_outcome outcome,
              double stretch,
              double now,
              policy_step& step) override;
  void ReportServiceTime(std::uint64_t id, double stretch) override;
  void Withdraw(std::uint64_t id, double now, policy_step& step) override;
  void Tick(double now, policy_step& step) override;
  void OnBoot(std::uint64_t boot_number) override;

 private:
  void Collect(double now, policy_step& step);

  admission_gate gate_;
  std::unordered_map<std::uint64_t, admission_ticket> tickets_;
  std::unordered_map<std::uint64_t, std::uint64_t> ids_;  ///< By ticket value.
};

/// \brief Names a policy of the tables.
enum class policy_kind { kNoLimit, kFixedAtKnee, kFixedTooHigh, kGate };

inline constexpr std::size_t kFullLimit = 64;
inline constexpr std::size_t kQueueLimit = 64;

[[nodiscard]] const char* ToString(policy_kind kind) noexcept;
/// \brief Settings of the gate in all experiments. The full limit is four times the knee of the
/// upstream, so the gate has to find the knee by itself.
[[nodiscard]] admission_settings GateSettings();
[[nodiscard]] std::unique_ptr<policy> MakePolicy(policy_kind kind);

}  // namespace quincebank::bench
