#include "quincebank/gateway/load_watch.h"

#include <algorithm>
#include <array>
#include <thread>
#include <utility>
#include <vector>

#include "quincebank/base/clock.h"

namespace quincebank {
namespace {

// Between renewals of the subscriptions; agents keep them for more than three times as long.
constexpr milliseconds kRenewal{1'000};
// Least time between two loads of an engine: a tenth of the time that a request usually runs.
constexpr milliseconds kLeastPeriod{200};
// Added to the period by each engine: at most 250 loads a second arrive at an entry.
constexpr milliseconds kPeriodPerEngine{4};
constexpr milliseconds kStopPoll{2};
// For the answers of agents that are asked: several round trips within a region, and a small part
// of any latency objective.
constexpr milliseconds kAnswerTime{15};

}  // namespace

milliseconds LoadReportPeriod(std::size_t engines) noexcept {
  return std::max(kLeastPeriod, kPeriodPerEngine * static_cast<std::int64_t>(engines));
}

load_watch::load_watch(const fleet_snapshot_holder& box,
                       std::uint16_t agent_port,
                       event_log& log,
                       std::function<void(const std::string&)> on_load)
    : box_(box), agent_port_(agent_port), log_(log), on_load_(std::move(on_load)) {}

load_watch::~load_watch() {
  stop_.Set();
  if (socket_)
    socket_->Close();
  while (running_ > 0)
    std::this_thread::sleep_for(kStopPoll);
}

result<void> load_watch::Start(fiber_thread& thread, const endpoint& address) {
  if (agent_port_ == 0)
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  BOOST_OUTCOME_TRY(socket_, datagram_socket::Bind(thread, address));
  constexpr std::array<void (load_watch::*)(), 2> kLoops{&load_watch::SubscribeLoop,
                                                         &load_watch::ReceiveLoop};
  for (const auto loop : kLoops) {
    ++running_;
    thread.SpawnLoop(
        "loads", [this, loop] { (this->*loop)(); }, stop_, [this] { --running_; });
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void load_watch::SubscribeLoop() {
  bool failing = false;
  do {
    const auto snapshot = box_.Get();
    std::vector<const upstream_record*> engines;
    for (const auto& [service, upstreams] : snapshot->upstreams) {
      for (const known_upstream& upstream : upstreams) {
        // Of a large fleet an entry sends only to some, and these tell the more often.
        if (upstream.record.group && !upstream.superseded && upstream.may_send)
          engines.push_back(&upstream.record);
      }
    }
    bool sent = true;
    for (const upstream_record* const engine : engines) {
      sent &=
          socket_->Send({engine->address.address, agent_port_},
                        Encode(load_subscription{engine->id, LoadReportPeriod(engines.size())}));
    }
    if (sent == failing)
      log_.Write(event_line("load.subscription").Add("sent", sent));
    failing = !sent;
  } while (!stop_.WaitFor(kRenewal));
}

void load_watch::ReceiveLoop() {
  for (;;) {
    const auto received = socket_->Receive();
    if (!received) {
      if (stop_.IsSet())
        return;
      // An error that the network reports for an earlier datagram.
      if (stop_.WaitFor(kStopPoll))
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
  const time_point asked = Now();
  for (const known_upstream* const upstream : upstreams) {
    const std::string& id = upstream->record.id;
    if (!socket_->Send({upstream->record.address.address, agent_port_},
                       Encode(load_subscription{id, milliseconds(0)})))
      log_.Write(event_line("load.not_asked").Add("upstream", id));
  }
  const auto told = [&] {
    return std::all_of(upstreams.begin(), upstreams.end(), [&](const known_upstream* upstream) {
      return upstream->health->told() >= asked;
    });
  };
  for (time_point now = asked; now < asked + kAnswerTime && !told(); now = Now())
    told_.WaitFor(std::chrono::ceil<milliseconds>(asked + kAnswerTime - now));
}

void load_watch::ApplyLoad(const engine_load& load) {
  const auto snapshot = box_.Get();
  const time_point now = Now();
  for (const auto& [service, upstreams] : snapshot->upstreams) {
    const auto found = std::find_if(
        upstreams.begin(), upstreams.end(),
        [&](const known_upstream& upstream) { return upstream.record.id == load.upstream; });
    if (found == upstreams.end())
      continue;
    found->health->OnLoad(load.running + load.waiting, now);
    if (found->liveness) {
      found->liveness->OnStep(load.step, now);
      found->liveness->OnRunning(load.running);
    }
    told_.NotifyAll();
    on_load_(service);
    return;
  }
}

}  // namespace quincebank
