// Requests that arrive while the process or the groups of the engines start.

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "forward_flow.h"
#include "quincebank/base/clock.h"

namespace quincebank {
namespace {

// Wait for the first configuration. Clients give a stream up whose first event takes two seconds,
// and the engines need a part of them.
constexpr milliseconds kMaxCatalogWait{1'000};
constexpr milliseconds kCatalogPollPeriod{10};
// Part of a client's remaining time that the wait may take.
constexpr int kCatalogWaitDivisor = 3;
// After a start, agents that were started at the same time report within this time.
constexpr milliseconds kAgentStartTime{3'000};
// Wait for the first report of an agent, if nothing shows that engines have restarted.
constexpr milliseconds kConfirmationWait{200};
// Time from a restart of the engines until their group serves, at least.
constexpr milliseconds kRestartTime{700};
// Clients honour a delay of up to this part of their remaining time.
constexpr int kHonouredDelayDivisor = 3;
// Rejected clients return spread over at least this time. A group serves the usual load and a half,
// so it takes several times the outage to serve all that have come meanwhile.
constexpr milliseconds kMinReturnSpread{500};
// Added to the expected opening, which gateways learn from the store.
constexpr milliseconds kOpeningMargin{300};

}  // namespace

void forward_flow::AwaitCatalog() {
  milliseconds wait = kMaxCatalogWait;
  if (request_.time_left)
    wait = std::min(wait, *request_.time_left / kCatalogWaitDivisor);
  while (!catalog_ && Elapsed() < wait && !aborted_ && !exchange_.PeerGone()) {
    boost::this_fiber::sleep_for(kCatalogPollPeriod);
    snapshot_ = shared_.snapshots.Get();
    catalog_ = snapshot_->catalog;
  }
}

bool forward_flow::IsAwaitingRestart(const placement& placed, bool loads_queried) {
  const time_point now = Now();
  if (!placed.chosen || now - shared_.process_started >= kAgentStartTime)
    return false;
  const bool has_ended = chosen_candidate_.superseded;
  const bool may_have_ended = placed.is_unconfirmed && loads_queried;
  if (!has_ended && !may_have_ended)
    return false;
  if (!has_ended && !placed.is_restarting && Elapsed() >= kConfirmationWait)
    return false;
  obstacle_ = placement_obstacle::kForming;
  available_at_ = has_ended || placed.is_restarting ? now + kRestartTime : now;
  return true;
}

forward_flow::gateway_response forward_flow::MakeFormingResponse() {
  const auto opens_in = std::chrono::duration_cast<milliseconds>(available_at_ - Now());
  const milliseconds earliest = std::max(opens_in, milliseconds(0)) + kOpeningMargin;
  return {503, ToString(placement_obstacle::kForming), earliest,
          std::max(TimeLeft() / kHonouredDelayDivisor - earliest, kMinReturnSpread)};
}

bool forward_flow::IsUnconfirmed(const known_upstream& upstream) const {
  return shared_.settings.agent_port != 0 && service_->engine && upstream.record.group &&
         !upstream.health->has_reported();
}

}  // namespace quincebank
