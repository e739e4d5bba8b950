// Cost of a request, for placement policies that use it.

#include <algorithm>
#include <chrono>
#include <cmath>

#include "forward_flow.h"
#include "quincebank/base/clock.h"
#include "quincebank/placement/placement_cost.h"

namespace quincebank {
namespace {

std::int64_t ToInteger(double value) {
  return std::llround(value);
}

std::int64_t ToMicroseconds(nanoseconds duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

work_request StatedWork(const client_request& request,
                        const std::string& route,
                        const std::string& workspace) {
  return {route, workspace, request.prompt_tokens, request.max_output_tokens,
          request.expected_output_tokens};
}

double TokensPerEvent(const engine_profile& engine) {
  return std::max(engine.tokens_per_event, 1);
}

}  // namespace

void forward_flow::PredictWork() {
  placed_request_.policy = shared_.settings.policy;
  if (!UsesCost())
    return;
  if (!service_->engine) {
    placed_request_.predicted = shared_.estimate.PredictDuration(route_->name, service_->name);
    mean_work_ = shared_.estimate.Mean(service_->name, placed_request_.predicted.work);
    return;
  }
  const engine_profile& engine = *service_->engine;
  placed_request_.engine = &engine;
  work_prediction predicted = shared_.estimate.PredictTokens(
      StatedWork(request_, route_->name, workspace_), engine.mean_answer_tokens);
  mean_work_ = shared_.estimate.Mean(service_->name, predicted.work);
  // An upstream that resumes a stream processes the output so far like a prompt.
  const double passed = passed_events_ * TokensPerEvent(engine);
  const auto left = [&](double tokens) {
    return std::max(tokens - passed, TokensPerEvent(engine));
  };
  predicted.work.prompt_tokens += passed;
  predicted.work.output_tokens = left(predicted.work.output_tokens);
  predicted.upper_output_tokens = left(predicted.upper_output_tokens);
  placed_request_.predicted = predicted;
}

void forward_flow::AddWork(const known_upstream& upstream, placement_candidate& candidate) const {
  if (!UsesCost())
    return;
  outstanding_work& work = upstream.health->work();
  const int other_requests = candidate.reported.value_or(0);
  candidate.outstanding = work.Total(other_requests, mean_work_);
  candidate.expected_memory = work.ExpectedMemory(other_requests, mean_work_);
  candidate.speed = work.speed(Now());
  const double group_speed = upstream.liveness ? upstream.liveness->usual_pace() / 1'000 : 0;
  if (placed_request_.policy == placement_policy::kPredictedFinish && service_->engine &&
      candidate.reported && group_speed > 0)
    LimitToSpeed(*service_->engine, candidate.speed / group_speed, candidate);
}

void forward_flow::StartWork(const known_upstream& upstream) {
  if (!UsesCost())
    return;
  work_health_ = upstream.health;
  work_health_->work().OnSend(assigned_work_, placed_request_.predicted.work);
}

void forward_flow::CountEvent() {
  ++passed_events_;
  if (!work_health_ || !service_->engine)
    return;
  const double tokens = TokensPerEvent(*service_->engine);
  work_health_->work().OnOutput(assigned_work_, tokens, tokens);
}

void forward_flow::EndWork(const attempt_result& attempt, nanoseconds duration) {
  if (!work_health_)
    return;
  outstanding_work& work = work_health_->work();
  work.OnEnd(assigned_work_);
  if (!service_->engine && attempt.outcome == attempt_outcome::kServed) {
    const time_point now = Now();
    const double speed = work.speed(now);
    work.OnAnswered(duration, placed_request_.predicted.work.duration, now);
    shared_.estimate.OnDuration(route_->name, service_->name, duration, speed);
  }
  work_health_.reset();
}

void forward_flow::LearnWork() {
  // Of a stream that the client resumes, the output before is unknown.
  if (!UsesCost() || !service_->engine || request_.resume_after)
    return;
  shared_.estimate.OnOutput(StatedWork(request_, route_->name, workspace_), service_->name,
                            passed_events_ * TokensPerEvent(*service_->engine));
}

void forward_flow::AddCost(event_line& line) const {
  if (!UsesCost())
    return;
  const work_amount& predicted = placed_request_.predicted.work;
  const work_amount& outstanding = chosen_candidate_.outstanding;
  line.Add("policy", ToString(placed_request_.policy));
  if (service_->engine) {
    line.Add("predicted_prompt", ToInteger(predicted.prompt_tokens))
        .Add("predicted_output", ToInteger(predicted.output_tokens))
        .Add("upper_output", ToInteger(placed_request_.predicted.upper_output_tokens))
        .Add("outstanding_prompt", ToInteger(outstanding.prompt_tokens))
        .Add("outstanding_output", ToInteger(outstanding.output_tokens))
        .Add("expected_memory", ToInteger(chosen_candidate_.expected_memory));
  } else {
    line.Add("predicted_us", ToMicroseconds(predicted.duration))
        .Add("outstanding_us", ToMicroseconds(outstanding.duration));
  }
  line.Add("slots", chosen_candidate_.slots)
      .Add("speed", chosen_candidate_.speed)
      .Add("same_domain", chosen_candidate_.same_domain)
      .Add("choice_failure_share", chosen_candidate_.failure_share)
      .Add("cost", PlacementCost(chosen_candidate_, placed_request_));
}

}  // namespace quincebank
