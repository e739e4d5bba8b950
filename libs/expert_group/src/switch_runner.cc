#include "quincebank/expert_group/switch_runner.h"

#include <boost/fiber/fiber.hpp>
#include <deque>
#include <utility>

#include "overloaded.h"
#include "quincebank/base/clock.h"
#include "quincebank/net/fiber_thread.h"

namespace quincebank {
namespace {

constexpr milliseconds kCallTimeout{3'000};
constexpr milliseconds kTick{50};
constexpr milliseconds kPhaseLimit{10'000};
/// Times that a decision is told; agents that miss it read the record themselves.
constexpr int kTellings = 3;

}  // namespace

std::vector<std::optional<boost::json::value>> CallAll(rpc_client& rpc,
                                                       const std::vector<endpoint>& agents,
                                                       const std::string& method,
                                                       const boost::json::object& params) {
  return CallAll(rpc, agents, method, std::vector<boost::json::object>(agents.size(), params));
}

std::vector<std::optional<boost::json::value>> CallAll(
    rpc_client& rpc,
    const std::vector<endpoint>& agents,
    const std::string& method,
    const std::vector<boost::json::object>& params) {
  std::vector<std::optional<boost::json::value>> answers(agents.size());
  std::vector<boost::fibers::fiber> calls;
  for (std::size_t rank = 0; rank < agents.size(); ++rank) {
    calls.emplace_back([&, rank] {
      RunGuarded(method, [&] {
        auto answer = rpc.Call(agents[rank], method, params[rank], kCallTimeout);
        if (answer)
          answers[rank] = std::move(answer).value();
      });
    });
  }
  for (boost::fibers::fiber& call : calls)
    call.join();
  return answers;
}

switch_runner::switch_runner(rpc_client& rpc,
                             map_records& records,
                             incarnation self,
                             group target,
                             const map_digest& map,
                             wait_function wait)
    : rpc_(rpc),
      records_(records),
      group_(std::move(target)),
      coordinator_(self, static_cast<int>(group_.agents.size()), map, group_.margin),
      wait_(std::move(wait)) {}

std::optional<switch_decision> switch_runner::Run() {
  Perform(coordinator_.Start());
  coordinator_phase phase = coordinator_.state().phase;
  time_point deadline = Now() + kPhaseLimit;
  while (coordinator_.state().phase != coordinator_phase::kDone) {
    if (coordinator_.state().phase == coordinator_phase::kNotStarted || wait_(kTick))
      return std::nullopt;
    if (coordinator_.state().phase != phase) {
      phase = coordinator_.state().phase;
      deadline = Now() + kPhaseLimit;
    }
    actions due = Now() > deadline ? coordinator_.OnDeadline() : actions{};
    Perform(due.empty() ? coordinator_.OnTick() : std::move(due));
  }
  for (int i = 1; i < kTellings && !wait_(kTick); ++i)
    Perform(coordinator_.OnTick());
  return coordinator_.state().outcome;
}

void switch_runner::Perform(actions first) {
  std::deque<coordinator_action> queue(first.begin(), first.end());
  while (!queue.empty()) {
    const coordinator_action action = queue.front();
    queue.pop_front();
    const actions next = std::visit(
        overloaded{
            [&](const prepare_message& sent) { return Ask("experts.prepare", ToJson(sent)); },
            [&](const promise_request& sent) { return Ask("experts.promise", ToJson(sent)); },
            [&](const decision_message& sent) { return Tell("experts.decision", ToJson(sent)); },
            [&](const withdraw_message& sent) { return Tell("experts.withdraw", ToJson(sent)); },
            [&](const read_history&) -> actions {
              const auto history = records_.ReadHistory();
              return history ? coordinator_.OnHistory(history.value())
                             : coordinator_.OnServiceFailed();
            },
            [&](const create_record& wanted) -> actions {
              const auto record = records_.Create(wanted.record);
              return record ? coordinator_.OnRecord(record.value())
                            : coordinator_.OnServiceFailed();
            }},
        action);
    queue.insert(queue.end(), next.begin(), next.end());
  }
}

switch_runner::actions switch_runner::Ask(const std::string& method, boost::json::object params) {
  params["group"] = group_.name;
  actions out;
  int rank = 0;
  for (const auto& answer : CallAll(rpc_, group_.agents, method, params)) {
    const int from = rank++;
    if (!answer)
      continue;
    const auto read = RankAnswerFromJson(*answer);
    if (!read)
      continue;
    const actions next = OnAnswer(from, read.value());
    out.insert(out.end(), next.begin(), next.end());
  }
  return out;
}

switch_runner::actions switch_runner::Tell(const std::string& method, boost::json::object params) {
  params["group"] = group_.name;
  (void)CallAll(rpc_, group_.agents, method, params);
  return {};
}

switch_runner::actions switch_runner::OnAnswer(int rank, const rank_answer& answer) {
  switch (answer.kind) {
    case rank_answer_kind::kNone:
      return {};
    case rank_answer_kind::kPrepared:
      return coordinator_.OnPrepared(rank, {answer.change, answer.next_step});
    case rank_answer_kind::kPromised:
      return coordinator_.OnPromised(rank, {answer.change});
    case rank_answer_kind::kRefused:
      return coordinator_.OnRefused({answer.change});
  }
  return {};
}

}  // namespace quincebank
