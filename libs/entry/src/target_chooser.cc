#include "target_chooser.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <utility>

#include "quincebank/base/clock.h"
#include "quincebank/messages/agent_load.h"
#include "quincebank/routing/replay.h"

namespace quincebank {
namespace {

constexpr milliseconds kStatusTimeout{1'000};
// Within the 1.2 s that a caller waits for its first token.
constexpr milliseconds kLongestWait{1'000};
constexpr milliseconds kWaitStep{20};
// Requests of one entry that may wait for room at the same time.
constexpr int kMaxWaiting = 256;

/// Counts a waiting request for as long as it lives.
class waiting_request {
 public:
  explicit waiting_request(std::atomic<int>& count) : count_(count) { ++count_; }
  ~waiting_request() { --count_; }
  waiting_request(const waiting_request&) = delete;
  waiting_request& operator=(const waiting_request&) = delete;

 private:
  std::atomic<int>& count_;
};

}  // namespace

target_chooser::target_chooser(entry_shared& shared,
                               traffic_context& context,
                               const service_config& service,
                               const service_view& view,
                               const choice_request& request,
                               std::uint64_t seed)
    : shared_(shared),
      context_(context),
      view_(view),
      policy_(FindRoutePolicy(service.policy)),
      request_(request),
      random_(seed) {
  if (policy_ == nullptr)
    policy_ = FindRoutePolicy(kDefaultRoutePolicy);
}

result<attempt_target> target_chooser::Choose(const std::vector<std::string>& tried) {
  const time_point started = Now();
  result<attempt_target> chosen = ChooseNow(KeysOf(tried), false);
  if (chosen || chosen.error().code != error_code::kOverloaded || !MayWait(started))
    return chosen;
  const waiting_request waiting(shared_.waiting);
  while (!chosen && chosen.error().code == error_code::kOverloaded && MayWait(started)) {
    boost::this_fiber::sleep_for(
        kWaitStep + milliseconds(random_.Below(static_cast<std::uint64_t>(kWaitStep.count()))));
    // An agent that was full may have room again.
    chosen = ChooseNow({}, true);
  }
  return chosen;
}

result<attempt_target> target_chooser::ChooseHedge(const std::vector<std::string>& tried) {
  hedge_ = true;
  policy_ = FindRoutePolicy(kDefaultRoutePolicy);
  return ChooseNow(KeysOf(tried), false);
}

bool target_chooser::MayWait(time_point started) const {
  const time_point now = Now();
  return now - started < kLongestWait && now + kWaitStep < request_.deadline &&
         shared_.waiting <= kMaxWaiting;
}

result<attempt_target> target_chooser::ChooseNow(std::vector<upstream_key> tried, bool waited) {
  const std::vector<upstream_load> loads = ReadLoads();
  for (;;) {
    route_input input;
    input.table = view_.table;
    input.loads = loads;
    input.request.workspace = request_.workspace;
    input.request.prefix = request_.prefix.view();
    input.request.priority = request_.priority;
    input.request.deadline = std::chrono::duration_cast<milliseconds>(request_.deadline - Now());
    input.request.failure_domain = shared_.settings.node.failure_domain;
    input.request.region = shared_.settings.node.region;
    input.request.tried = tried;
    input.request.hedge = hedge_;
    input.request.seed = random_.Next();
    input.request.turn = ++shared_.decisions;
    input.hits = view_.prompts->Find(request_.prefix.view());
    const result<route_decision> decision = quincebank::Choose(*policy_, input);
    shared_.metrics.CountDecision();
    // A request that waits decides many times; its repeated refusals say nothing new.
    if (decision || !waited) {
      shared_.records->Append(MakeRouteRecord(std::string(request_.request),
                                              std::chrono::system_clock::now(), *policy_, input,
                                              decision));
    }
    if (!decision)
      return decision.error();
    const std::uint32_t index = decision.value().index;
    const auto target = TargetOf(index);
    if (target)
      return *target;
    tried.push_back(view_.table->key(index));
  }
}

std::vector<upstream_load> target_chooser::ReadLoads() const {
  std::vector<upstream_load> loads;
  loads.reserve(view_.slots.size());
  const time_point now = Now();
  for (const ref_ptr<upstream_slot>& slot : view_.slots)
    loads.push_back(slot->Read(now));
  return loads;
}

std::vector<upstream_key> target_chooser::KeysOf(const std::vector<std::string>& agents) const {
  std::vector<upstream_key> keys;
  if (agents.empty())
    return keys;
  for (const ref_ptr<upstream_slot>& slot : view_.slots) {
    if (std::find(agents.begin(), agents.end(), ToString(slot->agent())) != agents.end())
      keys.push_back(KeyOf(slot->name()));
  }
  return keys;
}

std::optional<attempt_target> target_chooser::TargetOf(std::uint32_t index) {
  upstream_slot& slot = *view_.slots[index];
  if (slot.life().value == 0) {
    const auto answer = context_.rpc.Call(slot.agent(), "agent.status", {}, kStatusTimeout);
    const auto load =
        answer ? AgentLoadFromJson(answer.value()) : result<agent_load>(answer.error());
    if (!load) {
      shared_.directory->Report(slot.name(), contact::kRefused);
      return std::nullopt;
    }
    slot.OnLoad(load.value(), Now());
  }
  return attempt_target{ToString(slot.agent()), slot.life()};
}

}  // namespace quincebank
