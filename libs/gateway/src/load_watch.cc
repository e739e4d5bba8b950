#include "quincebank/gateway/load_watch.h"

#include <algorithm>
#include <array>
#include <thread>
#include <utility>
#include <vector>

#include "quincebank/base/clock.h"

namespace quincebank {
namespace {

// Interval of subscription renewals; agents keep a subscription more than three times as long.
constexpr milliseconds kRenewalPeriod{1'000};
// Least interval between two reports of an engine: a tenth of the usual time that a request runs.
constexpr milliseconds kMinReportPeriod{200};
// Added to the interval for each engine, so that an entry receives at most 250 reports per second.
constexpr milliseconds kReportPeriodPerEngine{4};
constexpr milliseconds kStopPollPeriod{2};
// Interval of checks for observations that are due; a fifth of the interval of their renewals.
constexpr milliseconds kObservationPeriod{100};
// Timeout of a load query: several round trips within a region, and a small part of any latency
// objective.
constexpr milliseconds kQueryTimeout{15};

}  // namespace

milliseconds LoadReportPeriod(std::size_t engines) noexcept {
  return std::max(kMinReportPeriod, kReportPeriodPerEngine * static_cast<std::int64_t>(engines));
}

load_watch::load_watch(const fleet_snapshot_holder& snapshots,
                       std::uint16_t agent_port,
                       event_log& log,
                       std::function<void(const std::string&)> on_load,
                       observation_sharing* sharing)
    : snapshots_(snapshots),
      agent_port_(agent_port),
      log_(log),
      on_load_(std::move(on_load)),
      sharing_(sharing) {}

load_watch::~load_watch() {
  stop_.Set();
  if (socket_)
    socket_->Close();
  while (running_loops_ > 0)
    std::this_thread::sleep_for(kStopPollPeriod);
}

result<void> load_watch::Start(fiber_thread& thread, const endpoint& address) {
  if (agent_port_ == 0)
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  BOOST_OUTCOME_TRY(socket_, datagram_socket::Bind(thread, address));
  constexpr std::array<void (load_watch::*)(), 3> kLoops{
      &load_watch::SubscribeLoop, &load_watch::ReceiveLoop, &load_watch::ObservationLoop};
  for (const auto loop : kLoops) {
    ++running_loops_;
    thread.SpawnLoop(
        "loads", [this, loop] { (this->*loop)(); }, stop_, [this] { --running_loops_; });
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void load_watch::SubscribeLoop() {
  bool failing = false;
  do {
    const auto snapshot = snapshots_.Get();
    std::vector<const upstream_record*> engines;
    for (const auto& [service, upstreams] : snapshot->upstreams) {
      for (const known_upstream& upstream : upstreams) {
        // In a large fleet, an entry sends to few engines only; fewer subscriptions allow a shorter
        // interval.
        if (upstream.record.group && !upstream.superseded && upstream.may_send)
          engines.push_back(&upstream.record);
      }
    }
    bool all_sent = true;
    for (const upstream_record* const engine : engines) {
      all_sent &=
          socket_->Send({engine->address.address, agent_port_},
                        Encode(load_subscription{engine->id, LoadReportPeriod(engines.size())}));
    }
    if (all_sent == failing)
      log_.Write(event_line("load.subscription").Add("sent", all_sent));
    failing = !all_sent;
  } while (!stop_.WaitFor(kRenewalPeriod));
}

void load_watch::ObservationLoop() {
  while (sharing_ != nullptr && !stop_.IsSet()) {
    (void)observation_event_.WaitFor(kObservationPeriod);
    const auto send = [this](const upstream_record& upstream, std::string_view payload) {
      return socket_->Send({upstream.address.address, agent_port_}, payload);
    };
    sharing_->SendDue(*snapshots_.Get(), send, Now());
  }
}

void load_watch::ReceiveLoop() {
  for (;;) {
    const auto received = socket_->Receive();
    if (!received) {
      if (stop_.IsSet())
        return;
      // The socket reports errors of earlier datagrams, such as ICMP errors.
      if (stop_.WaitFor(kStopPollPeriod))
        return;
      continue;
    }
    const auto load = DecodeLoad(received.value().payload);
    if (load)
      ApplyLoad(load.value());
  }
}

void load_watch::QueryLoads(std::span<const known_upstream* const> upstreams) {
  if (!socket_)
    return;
  const time_point queried_at = Now();
  for (const known_upstream* const upstream : upstreams) {
    const std::string& id = upstream->record.id;
    if (!socket_->Send({upstream->record.address.address, agent_port_},
                       Encode(load_subscription{id, milliseconds(0)})))
      log_.Write(event_line("load.not_asked").Add("upstream", id));
  }
  const auto all_reported = [&] {
    return std::all_of(upstreams.begin(), upstreams.end(), [&](const known_upstream* upstream) {
      return upstream->health->reported_at() >= queried_at;
    });
  };
  for (time_point now = queried_at; now < queried_at + kQueryTimeout && !all_reported();
       now = Now())
    load_received_.WaitFor(std::chrono::ceil<milliseconds>(queried_at + kQueryTimeout - now));
}

void load_watch::ApplyLoad(const engine_load& load) {
  const auto snapshot = snapshots_.Get();
  const time_point now = Now();
  for (const auto& [service, upstreams] : snapshot->upstreams) {
    const auto found = std::find_if(
        upstreams.begin(), upstreams.end(),
        [&](const known_upstream& upstream) { return upstream.record.id == load.upstream; });
    if (found == upstreams.end())
      continue;
    if (load.incarnation != 0 && found->record.incarnation != 0 &&
        load.incarnation != found->record.incarnation) {
      if (load.incarnation > found->record.incarnation)
        found->health->OnReplaced(now);
      return;
    }
    found->health->OnLoad(load.running + load.waiting, now);
    found->health->work().OnReport({load.running, load.waiting, load.kv_used, load.pace}, now);
    if (found->liveness) {
      found->liveness->OnPass(load.step, now);
      found->liveness->OnBatchSize(load.running);
      if (load.pace > 0)
        found->liveness->OnPace(load.pace);
      if (!found->record.leaving &&
          !snapshot->evacuated_domains.contains(found->record.failure_domain))
        found->liveness->OnServingBatchSize(load.running);
    }
    if (sharing_ != nullptr)
      sharing_->OnReport(*snapshot, upstreams, *found, load.observations, now);
    load_received_.NotifyAll();
    on_load_(service);
    return;
  }
}

}  // namespace quincebank
