#pragma once

#include <boost/fiber/mutex.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "quincebank/expert_group/engine_client.h"
#include "quincebank/expert_group/map_records.h"
#include "quincebank/experts/switch_agent.h"

namespace quincebank {

/// \brief Carries out the actions of the `switch_agent` of one rank.
///
/// Events are handled one after the other, so that an engine gets one order at a time and each is
/// read back before the next. Used by the fibers of one thread.
class rank_driver {
 public:
  rank_driver(engine_client engine, map_records& records, int rank);

  [[nodiscard]] rank_answer Prepare(const prepare_message& message);
  [[nodiscard]] rank_answer Promise(const promise_request& message);
  void Decide(const decision_message& message);
  void Withdraw(const withdraw_message& message);
  /// \brief Call at intervals: reads the engine back and suspects a coordinator that is silent.
  void Tick(time_point now);

  [[nodiscard]] result<token_counts> Tokens() { return engine_.Tokens(); }
  /// \brief Epoch of the map that the engine used when it was read last.
  [[nodiscard]] map_epoch map_in_use() const noexcept { return view_ ? view_->map : 0; }
  /// \brief State for `experts.status`.
  [[nodiscard]] boost::json::object Status() const;

 private:
  using actions = switch_agent::actions;

  [[nodiscard]] rank_answer Run(const change_id& change, const std::function<actions()>& event);
  [[nodiscard]] actions Perform(const engine_order& order);
  [[nodiscard]] actions ReadEngine();
  [[nodiscard]] actions ReportLost(std::uint64_t boot);
  [[nodiscard]] bool TakesPart() const noexcept;

  engine_client engine_;
  map_records& records_;
  switch_agent agent_;
  boost::fibers::mutex mutex_;
  std::map<map_epoch, map_digest> maps_;  ///< Named by `prepare`; for the `stage` order.
  std::optional<engine_view> view_;       ///< As read last.
  time_point heard_;                      ///< When a coordinator last called.
  std::uint64_t lost_boot_ = 0;           ///< Boot of the engine that was reported last as lost.
  bool lost_ = false;                     ///< The engine's map doesn't fit the records.
  map_epoch failed_ = 0;                  ///< Epoch of the last order if it got no good answer.
};

}  // namespace quincebank
