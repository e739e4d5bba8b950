#include "quincebank/expert_group/rank_driver.h"

#include <array>
#include <deque>
#include <mutex>
#include <utility>

#include "overloaded.h"
#include "quincebank/base/clock.h"
#include "quincebank/base/log.h"
#include "quincebank/experts/switch_json.h"

namespace quincebank {
namespace {

constexpr logger kLog{"experts"};
constexpr milliseconds kCoordinatorSilence{5'000};
/// An engine that doesn't carry out an order is read again at the next tick, not at once.
constexpr int kMaxReads = 4;
constexpr std::array<std::string_view, 7> kPhaseNames{"starting", "settling", "idle",    "staging",
                                                      "prepared", "holding",  "promised"};

}  // namespace

rank_driver::rank_driver(engine_client engine, map_records& records, int rank)
    : engine_(std::move(engine)), records_(records), agent_(static_cast<std::size_t>(rank)) {}

bool rank_driver::TakesPart() const noexcept {
  return agent_.state().phase >= agent_phase::kStaging;
}

rank_answer rank_driver::Prepare(const prepare_message& message) {
  return Run(message.change, [&] {
    heard_ = Now();
    maps_[message.change.epoch] = message.map;
    return agent_.OnPrepare(message);
  });
}

rank_answer rank_driver::Promise(const promise_request& message) {
  return Run(message.change, [&] {
    heard_ = Now();
    return agent_.OnPromiseRequest(message);
  });
}

void rank_driver::Decide(const decision_message& message) {
  (void)Run({}, [&] { return agent_.OnDecision(message); });
}

void rank_driver::Withdraw(const withdraw_message& message) {
  (void)Run({}, [&] { return agent_.OnWithdraw(message); });
}

void rank_driver::Tick(time_point now) {
  const change_id change = agent_.state().change;
  if (TakesPart() && now - heard_ > kCoordinatorSilence) {
    kLog.Warning("the coordinator of epoch ", change.epoch, " is silent");
    (void)Run({}, [&] { return agent_.OnCoordinatorGone(change); });
  }
  (void)Run({}, [&] {
    return agent_.state().phase == agent_phase::kStarting ? agent_.Start() : agent_.OnTick();
  });
}

rank_answer rank_driver::Run(const change_id& change, const std::function<actions()>& event) {
  const std::unique_lock lock(mutex_);
  rank_answer answer{rank_answer_kind::kNone, change, 0};
  int reads = 0;
  const auto first = event();
  std::deque<agent_action> queue(first.begin(), first.end());
  while (!queue.empty()) {
    const agent_action action = queue.front();
    queue.pop_front();
    const actions next = std::visit(
        overloaded{
            [&](const prepared_message& sent) -> actions {
              answer = {rank_answer_kind::kPrepared, sent.change, sent.next_step};
              return {};
            },
            [&](const promised_message& sent) -> actions {
              answer = {rank_answer_kind::kPromised, sent.change, 0};
              return {};
            },
            [&](const refused_message& sent) -> actions {
              answer = {rank_answer_kind::kRefused, sent.change, 0};
              return {};
            },
            [&](const engine_order& order) { return Perform(order); },
            [&](const read_engine&) { return ++reads > kMaxReads ? actions{} : ReadEngine(); },
            [&](const read_history&) -> actions {
              const auto history = records_.ReadHistory();
              return history ? agent_.OnHistory(history.value()) : actions{};
            },
            [&](const create_record& wanted) -> actions {
              const auto record = records_.Create(wanted.record);
              return record ? agent_.OnRecord(record.value()) : actions{};
            },
            [&](const report_engine_lost& report) { return ReportLost(report.boot); }},
        action);
    queue.insert(queue.end(), next.begin(), next.end());
  }
  maps_.erase(maps_.begin(), maps_.upper_bound(agent_.state().decided));
  return answer;
}

rank_driver::actions rank_driver::Perform(const engine_order& order) {
  std::string digest;
  std::string body;
  if (order.kind == engine_order_kind::kStage) {
    const map_digest map = maps_[order.epoch];
    auto fetched = records_.FetchMap(map);
    if (!fetched) {
      // The stage order counts as lost; the coordinator gives the change up.
      kLog.Warning("map of epoch ", order.epoch, " not staged: ", fetched.error().message);
      return {};
    }
    digest = ToHex(map);
    body = std::move(fetched).value();
  }
  // An order without an answer may run late. The agent goes by what the engine shows.
  const auto sent = engine_.Send(order, digest, body);
  const map_epoch failed = sent ? 0 : order.epoch;
  if (!sent && failed != failed_)  // Repeated orders of one epoch are reported once.
    kLog.Warning("order for epoch ", order.epoch, ": ", sent.error().message);
  failed_ = failed;
  return {};
}

rank_driver::actions rank_driver::ReadEngine() {
  auto view = engine_.View();
  if (!view)
    return {};
  view_ = std::move(view).value();
  lost_ = false;
  return agent_.OnView(*view_);
}

rank_driver::actions rank_driver::ReportLost(std::uint64_t boot) {
  if (boot != lost_boot_)
    kLog.Error("the engine's map isn't that of the records; waiting for a restart of its group");
  lost_ = true;
  lost_boot_ = boot;
  return {};
}

boost::json::object rank_driver::Status() const {
  const agent_state& state = agent_.state();
  boost::json::object status{{"phase", kPhaseNames.at(static_cast<std::size_t>(state.phase))},
                             {"change_epoch", state.change.epoch},
                             {"decided", state.decided},
                             {"committed", ToJson(state.committed)},
                             {"engine_lost", lost_}};
  if (view_) {
    status["engine"] = boost::json::object{{"boot", view_->boot},
                                           {"next_step", view_->next_step},
                                           {"map", view_->map},
                                           {"pending", view_->pending}};
  }
  return status;
}

}  // namespace quincebank
