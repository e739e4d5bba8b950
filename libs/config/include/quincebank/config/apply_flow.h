#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "quincebank/base/error.h"
#include "quincebank/base/time.h"
#include "quincebank/config/plan.h"

namespace quincebank {

enum class apply_step : std::uint8_t {
  kReadRoot,      ///< Read `key`; answer by `OnRead`.
  kReadSection,   ///< Read `key`; answer by `OnRead`.
  kWriteSection,  ///< Create `key` with `value` if absent; answer by `OnWritten`.
  kReadBody,      ///< Read `key`, a body that exists already; answer by `OnRead`.
  kTouchSection,  ///< Replace `key` if its index is `index`; answer by `OnWritten`.
  kSwapRoot,      ///< Replace `key` if its index is `index` (0: absent); answer by `OnWritten`.
  kReadBack,      ///< Read `key` after a swap without an answer; answer by `OnRead`.
  kWait,          ///< Call `Next` again at `not_before`.
  kFinished,      ///< `outcome()` is set.
};

struct apply_action {
  apply_step step = apply_step::kFinished;
  std::string key;
  std::string value;
  std::uint64_t index = 0;
  time_point not_before;
};

/// \brief Value as the key-value service returns it.
struct stored_value {
  std::string value;
  std::uint64_t index = 0;  ///< Changes with each write of the key; never 0.
};

struct apply_outcome {
  bool accepted = false;
  bool unchanged = false;               ///< Accepted, but nothing had to be written.
  std::uint64_t version = 0;            ///< Version that is in force with the change.
  config_root root;                     ///< Valid if accepted; offered to the nodes.
  std::vector<config_section> changed;  ///< Bodies to offer with the root.
  /// Digests that the apply replaced, or wrote in vain: to be given to `section_collector`.
  std::vector<std::string> dropped;
  /// Valid if rejected. `outcome` is `kNotRun` if the change is not and will never be in force,
  /// `kMayHaveRun` if it may be now or later.
  error reason;
};

struct apply_settings {
  milliseconds time_limit{20'000};
  milliseconds first_wait{50};  ///< Wait after a failed call; doubles up to `last_wait`.
  milliseconds last_wait{2'000};
  std::size_t max_plans = 32;  ///< Merges tried against faster writers.
};

/// \brief Drives one `apply` through the key-value service. Does no I/O.
///
/// The caller runs the action of `Next`, reports the answer, and repeats until `kFinished`.
///
/// \example
///   apply_flow flow(request, {}, now);
///   for (auto action = flow.Next(now); action.step != apply_step::kFinished;
///        action = flow.Next(now)) { ... flow.OnRead(value, now); ... }
class apply_flow {
 public:
  apply_flow(apply_request request, apply_settings settings, time_point start);

  [[nodiscard]] apply_action Next(time_point now);
  /// \brief The service answered a read; nothing if the key is absent.
  void OnRead(const std::optional<stored_value>& value, time_point now);
  /// \brief The service answered a write; false if its condition did not hold.
  void OnWritten(bool applied, time_point now);
  /// \brief A call failed or its answer was lost. `failure.outcome` says whether it may have run.
  void OnError(const error& failure, time_point now);

  [[nodiscard]] const apply_outcome& outcome() const noexcept { return outcome_; }

 private:
  void OnRootRead(const std::optional<stored_value>& value);
  void OnSectionRead(const std::optional<stored_value>& value);
  void OnReadBack(const std::optional<stored_value>& value);
  void LoadOrPlan();
  void Plan();
  void NextSection();
  void ListDropped(const config_root& in_force);
  void Accept(bool unchanged);
  void Reject(error reason);
  void RejectUnresolved(const std::string& why);

  apply_request request_;
  const apply_settings settings_;
  const time_point deadline_;
  apply_step step_ = apply_step::kReadRoot;
  time_point not_before_;
  milliseconds wait_;
  std::size_t plans_ = 0;
  std::string last_failure_;
  std::optional<config_base> base_;
  config_root current_;
  std::uint64_t current_index_ = 0;
  std::map<std::string, config_section> known_;  ///< Sections read so far, by digest.
  std::vector<std::string> to_read_;             ///< Names of sections of `current_`.
  apply_plan plan_;
  std::size_t written_ = 0;
  std::uint64_t touch_index_ = 0;
  std::set<std::string> bodies_;  ///< Digests of all bodies written, for any plan.
  std::string plan_digest_;
  bool swap_unresolved_ = false;  ///< A swap of `plan_` was sent and its effect is unknown.
  apply_outcome outcome_;
};

}  // namespace quincebank
