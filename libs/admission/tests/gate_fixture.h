#pragma once

#include <gtest/gtest.h>

#include <vector>

#include "quincebank/admission/gate.h"

namespace quincebank {

/// \brief Gate with a virtual clock: cold limit 2, full limit 8, queue limit 16 and a good service
/// time of 100 ms.
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

  /// Offers a request and records it as running if it is admitted.
  admission_decision Offer(const admission_request& request = {.workspace = 1}) {
    admission_decision decision = gate_.Offer(request, now_);
    if (decision.admitted())
      running_.push_back(decision.ticket);
    return decision;
  }

  /// Advances the clock by `service_time`, finishes all running requests and processes the queue.
  queue_changes FinishAll(work_outcome outcome = work_outcome::kServed,
                          milliseconds service_time = kServiceTime) {
    now_ += service_time;
    std::vector<admission_ticket> finished;
    finished.swap(running_);
    for (const admission_ticket ticket : finished)
      gate_.Finish(ticket, outcome, service_time, now_);
    return ProcessQueue();
  }

  /// Processes the queue and records the admitted requests as running.
  queue_changes ProcessQueue() {
    queue_changes changes = gate_.ProcessQueue(now_);
    running_.insert(running_.end(), changes.admitted.begin(), changes.admitted.end());
    return changes;
  }

  /// Finishes requests until the limit is at the full limit, then until none is in flight.
  void WarmUp() {
    for (int i = 0; i < 100 && gate_.State().phase != admission_phase::kFull; ++i) {
      while (gate_.State().in_flight < gate_.State().limit)
        (void)Offer();
      (void)FinishAll();
    }
    while (gate_.State().in_flight > 0)
      (void)FinishAll();
  }

  /// Fills all slots and queues `count` more copies of `request`.
  /// \returns The tickets of the queued requests.
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
