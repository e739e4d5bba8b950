#pragma once

#include <functional>
#include <memory>
#include <string>

#include "quincebank/idempotency/timed_attempt.h"
#include "quincebank/scenario/order_policy.h"

namespace quincebank::scenario {

/// \brief Takes a claim over when its lease is over, without asking its agent.
class time_lease_owner final : public order_policy {
 public:
  request_action OnAction(keyed_request& request,
                          const request_action& action,
                          time_point now,
                          wall_time wall) override {
    const bool over = AttemptTime(action.attempt) + kLease < wall;
    if (action.kind != action_kind::kAskState || !over)
      return action;
    return request.OnState(action.step, {attempt_state::kBlocked}, now);
  }

 private:
  static constexpr milliseconds kLease{2000};
};

/// \brief Takes "never seen" for "will never arrive" and does not block.
class trusts_never_seen final : public order_policy {
 public:
  request_action OnAction(keyed_request& request,
                          const request_action& action,
                          time_point now,
                          wall_time /*wall*/) override {
    if (action.kind != action_kind::kBlock)
      return action;
    return request.OnState(action.step, {attempt_state::kBlocked}, now);
  }
};

/// \brief Takes a later incarnation's ignorance for a proof about an earlier one.
class trusts_later_incarnation final : public order_policy {
 public:
  state_report OnState(const request_action& /*action*/, state_report report) override {
    if (report.state == attempt_state::kWrongIncarnation)
      report.state = attempt_state::kBlocked;
    return report;
  }
};

/// \brief Takes a failed swap for a written one.
class ignores_conflicts final : public order_policy {
 public:
  store_reply OnStoreReply(store_reply reply) override {
    if (reply.what == store_reply::status::kConflict) {
      reply.what = store_reply::status::kOk;
      reply.index = 0;
    }
    return reply;
  }
};

/// \brief Takes a write of unknown outcome for a written one, and does not read back.
class takes_lost_write_as_done final : public order_policy {
 public:
  store_action OnStoreAction(store_action action) override {
    swapping_ = action.what == store_action::kind::kSwap;
    return action;
  }
  store_reply OnStoreReply(store_reply reply) override {
    if (swapping_ && reply.what == store_reply::status::kUnknown)
      reply.what = store_reply::status::kOk;
    return reply;
  }

 private:
  bool swapping_ = false;
};

/// \brief Agent without a ledger: each copy runs.
class runs_every_copy final : public order_policy {
 public:
  begin_outcome OnBegin(begin_outcome outcome) override {
    const bool known = outcome == begin_outcome::kBlocked ||
                       outcome == begin_outcome::kAlreadyRunning || outcome == begin_outcome::kDone;
    return known ? begin_outcome::kStart : outcome;
  }
};

/// \brief Reports an unknown outcome as "not run", to make callers retry.
class optimistic_verdict final : public order_policy {
 public:
  request_end OnEnd(request_end end) override {
    if (end.outcome == verdict::kMayHaveRun)
      end.outcome = verdict::kNotRun;
    return end;
  }
};

/// \brief Resumes an answer from its start although the caller has a part of it.
class resumes_from_start final : public order_policy {
 public:
  request_action OnAction(keyed_request& /*request*/,
                          const request_action& action,
                          time_point /*now*/,
                          wall_time /*wall*/) override {
    request_action changed = action;
    changed.offset = 0;
    return changed;
  }
};

/// \brief Erases claims by a shorter retention, and accepts old keys by its own.
class ignores_the_floor final : public order_policy {
 public:
  [[nodiscard]] bool ChecksFloor() const override { return false; }
};

/// \brief Forgets a request when its agent can't be reached.
class loses_requests final : public order_policy {
 public:
  request_action OnAction(keyed_request& /*request*/,
                          const request_action& action,
                          time_point /*now*/,
                          wall_time /*wall*/) override {
    return action.kind == action_kind::kWait ? request_action{} : action;
  }
};

}  // namespace quincebank::scenario
