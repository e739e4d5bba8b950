#pragma once

#include <gtest/gtest.h>

#include <vector>

#include "quincebank/admission/gate.h"

namespace quincebank {

/// \brief Gate with a virtual clock: cold limit 2, full limit 8, queue of 16, good up to 100 ms.
class gate_fixture : public testing::Test {
 protected:
  static constexpr milliseconds kServiceTime{100};

  static admission_settings Settings() {
    admission_settings settings;
    settings.cold_limit = 2;
    settings.full_limit = 8;
    settings.queue_limit = 16;
    settings.expected_service_time = kServiceTime;
    settings.ramp.good_service_time = kServiceTime;
    return settings;
  }

  admission_decision Offer(const admission_request& request = {.workspace = 1}) {
    admission_decision decision = gate_.Offer(request, now_);
    if (decision.admitted())
      running_.push_back(decision.ticket);
    return decision;
  }

  /// Finishes all running work after `service_time` and starts what may start then.
  queue_changes FinishAll(work_outcome outcome = work_outcome::kServed,
                          milliseconds service_time = kServiceTime) {
    now_ += service_time;
    std::vector<admission_ticket> finished;
    finished.swap(running_);
    for (const admission_ticket ticket : finished)
      gate_.Finish(ticket, outcome, service_time, now_);
    return ProcessQueue();
  }

  queue_changes ProcessQueue() {
    queue_changes changes = gate_.ProcessQueue(now_);
    running_.insert(running_.end(), changes.admitted.begin(), changes.admitted.end());
    return changes;
  }

  /// Offers enough work to reach the full limit, then finishes all of it.
  void WarmUp() {
    for (int i = 0; i < 100 && gate_.State().phase != admission_phase::kFull; ++i) {
      while (gate_.State().in_flight < gate_.State().limit)
        (void)Offer();
      (void)FinishAll();
    }
    while (gate_.State().in_flight > 0)
      (void)FinishAll();
  }

  /// Runs as much as the limit permits and queues `count` more requests of one workspace.
  std::vector<admission_ticket> FillAndQueue(std::size_t count, const admission_request& request) {
    while (gate_.State().in_flight < gate_.State().limit)
      (void)Offer();
    std::vector<admission_ticket> queued;
    for (std::size_t i = 0; i < count; ++i) {
      const admission_decision decision = Offer(request);
      EXPECT_TRUE(decision.queued()) << i;
      queued.push_back(decision.ticket);
    }
    return queued;
  }

  admission_gate gate_{Settings()};
  time_point now_{seconds(1000)};
  std::vector<admission_ticket> running_;
};

}  // namespace quincebank
