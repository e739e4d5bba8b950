#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "quincebank/admission/gate.h"
#include "quincebank/base/random.h"

namespace quincebank {
namespace {

class gate_property_test : public testing::TestWithParam<std::uint64_t> {};

enum class ticket_state : std::uint8_t { kQueued, kRunning };

// Guards against lost or duplicated requests, an exceeded limit, and queued requests at a cold
// upstream. Under random calls and events, no accepted ticket is lost, started twice or ended
// twice.
TEST_P(gate_property_test, EveryTicketStartsAndEndsAtMostOnce) {
  random_source random(GetParam());
  admission_settings settings;
  settings.cold_limit = 1 + random.Below(3);
  settings.full_limit = settings.cold_limit + random.Below(20);
  settings.queue_limit = random.Below(40);
  settings.idle_workspace_limit = random.Below(5);
  settings.ramp.good_service_time = milliseconds(100);
  admission_gate gate(settings);
  std::map<admission_ticket, ticket_state> tickets;
  time_point now{seconds(1)};
  std::uint64_t boot_number = 0;
  bool draining = false;

  const auto pick = [&](ticket_state wanted) {
    std::vector<admission_ticket> matching;
    for (const auto& [ticket, state] : tickets) {
      if (state == wanted)
        matching.push_back(ticket);
    }
    return matching.empty() ? admission_ticket{} : matching[random.Below(matching.size())];
  };

  for (int step = 0; step < 5'000; ++step) {
    now += milliseconds(random.Below(20));
    const std::uint64_t action = random.Below(100);
    const std::size_t limit_before = gate.State().limit;
    if (action < 55) {
      admission_request request{.workspace = random.Below(30),
                                .weight = static_cast<std::uint32_t>(random.Below(4)),
                                .priority = static_cast<std::uint8_t>(random.Below(10))};
      if (random.Below(2) == 0)
        request.deadline = milliseconds(random.Below(2000));
      const admission_decision decision = gate.Offer(request, now);
      ASSERT_EQ(decision.rejected(), decision.ticket == admission_ticket{});
      if (!decision.rejected()) {
        ASSERT_FALSE(draining);
        ASSERT_TRUE(tickets
                        .emplace(decision.ticket, decision.admitted() ? ticket_state::kRunning
                                                                      : ticket_state::kQueued)
                        .second);
      } else {
        ASSERT_EQ(decision.refused.failure.outcome, verdict::kNotRun);
        ASSERT_GT(decision.refused.retry_after.count(), 0);
      }
    } else if (action < 90) {
      const admission_ticket ticket = pick(ticket_state::kRunning);
      const auto outcome =
          random.Below(20) == 0 ? work_outcome::kUpstreamError : work_outcome::kServed;
      gate.Finish(ticket, outcome, milliseconds(random.Below(130)), now);
      tickets.erase(ticket);
    } else if (action < 94) {
      const admission_ticket ticket =
          pick(random.Below(2) == 0 ? ticket_state::kQueued : ticket_state::kRunning);
      gate.Cancel(ticket);
      tickets.erase(ticket);
    } else if (action < 96) {
      gate.OnUpstreamBoot(boot_number += random.Below(2));
    } else if (action < 97) {
      gate.OnConnectionLost();
      ASSERT_EQ(gate.State().limit, settings.cold_limit);
    } else if (action < 98 && random.Below(4) == 0) {
      settings.cold_limit = 1 + random.Below(3);
      settings.full_limit = settings.cold_limit + random.Below(20);
      settings.queue_limit = random.Below(60);
      gate.SetLimits(settings.cold_limit, settings.full_limit, settings.queue_limit);
    } else if (action < 98) {
      draining = !draining && random.Below(3) == 0;
      gate.SetDraining(draining);
    }
    // Only finished requests and a raised cold limit can raise the limit.
    if (action < 55 || action >= 90) {
      ASSERT_LE(gate.State().limit, std::max(limit_before, settings.cold_limit));
    }
    const std::size_t in_flight_before = gate.State().in_flight;
    const queue_changes changes = gate.ProcessQueue(now);
    for (const admission_ticket ticket : changes.admitted) {
      ASSERT_EQ(tickets.at(ticket), ticket_state::kQueued);
      tickets.at(ticket) = ticket_state::kRunning;
    }
    for (const shed_ticket& shed : changes.shed) {
      ASSERT_EQ(tickets.at(shed.ticket), ticket_state::kQueued);
      tickets.erase(shed.ticket);
    }
    const admission_state state = gate.State();
    const auto running = std::count_if(tickets.begin(), tickets.end(), [](const auto& ticket) {
      return ticket.second == ticket_state::kRunning;
    });
    ASSERT_EQ(state.in_flight, static_cast<std::size_t>(running));
    ASSERT_EQ(state.in_flight + state.queued, tickets.size());
    ASSERT_LE(state.in_flight, std::max(in_flight_before, state.limit));
    ASSERT_LE(state.limit, settings.full_limit);
    if (state.phase == admission_phase::kCold || state.phase == admission_phase::kDraining) {
      ASSERT_EQ(state.queued, 0U);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, gate_property_test, testing::Range<std::uint64_t>(1, 33));

}  // namespace
}  // namespace quincebank
