#pragma once

#include "quincebank/idempotency/keyed_request.h"

namespace quincebank::scenario {

/// \brief Points at which a test can replace a rule of the system by a broken one.
///
/// The base class changes nothing. A scenario run that accepts a broken policy shows that its
/// checks are too weak.
class order_policy {
 public:
  order_policy() = default;
  virtual ~order_policy() = default;
  order_policy(const order_policy&) = delete;
  order_policy& operator=(const order_policy&) = delete;

  /// \brief May answer an action itself and return the action that follows.
  [[nodiscard]] virtual request_action OnAction(keyed_request& request,
                                                const request_action& action,
                                                time_point now,
                                                wall_time wall);
  /// \brief May change what an agent says about an attempt.
  [[nodiscard]] virtual state_report OnState(const request_action& action, state_report report);
  [[nodiscard]] virtual store_action OnStoreAction(store_action action) { return action; }
  [[nodiscard]] virtual store_reply OnStoreReply(store_reply reply) { return reply; }
  /// \brief Whether a decision about an old key is confirmed by a read of the claim floor.
  [[nodiscard]] virtual bool ChecksFloor() const { return true; }
  [[nodiscard]] virtual begin_outcome OnBegin(begin_outcome outcome) { return outcome; }
  [[nodiscard]] virtual request_end OnEnd(request_end end) { return end; }
};

}  // namespace quincebank::scenario
