#include "quincebank/gateway/agent_engine_port.h"

#include <array>

#include "quincebank/base/clock.h"
#include "quincebank/expert_control/rank_messages.h"
#include "quincebank/net/run_parallel.h"

namespace quincebank {
namespace {

// Timeout of one call. Agents usually answer within a few milliseconds.
constexpr milliseconds kAgentTimeout{350};
// An agent that did not answer is not called again for this time.
constexpr milliseconds kAgentRetryDelay{1'500};
// Mean number of choices per expert from which on an agent reports its counts: about those of a
// short prompt.
constexpr std::uint64_t kMinMeanChoices = 48;
// Sums of an engine that was not read for this time are dropped: an engine that restarts gets a new
// id, so the old sum would stay forever.
constexpr milliseconds kCountExpiry{10'000};

}  // namespace

agent_engine_port::agent_engine_port(rpc_client& rpc,
                                     std::uint16_t port,
                                     std::unique_ptr<engine_port> direct,
                                     event_log& log)
    : rpc_(rpc), port_(port), direct_(std::move(direct)), log_(log) {}

bool agent_engine_port::ShouldCallAgent(const upstream_record& rank) const {
  const auto found = retry_agent_at_.find(rank.address.address);
  return port_ != 0 && (found == retry_agent_at_.end() || Now() >= found->second);
}

result<boost::json::value> agent_engine_port::Call(const upstream_record& rank,
                                                   const std::string& method,
                                                   boost::json::object params) {
  params["upstream"] = rank.id;
  auto answer = rpc_.Call({rank.address.address, port_}, method, params, kAgentTimeout);
  const bool unreachable = !answer && (answer.error().code == error_code::kUnavailable ||
                                       answer.error().code == error_code::kTimeout ||
                                       answer.error().code == error_code::kTruncated);
  if (!unreachable)
    return answer;
  const bool was_unreachable = retry_agent_at_.contains(rank.address.address);
  retry_agent_at_[rank.address.address] = Now() + kAgentRetryDelay;
  if (!was_unreachable) {
    log_.Write(
        event_line("agent.lost").Add("upstream", rank.id).Add("reason", answer.error().message));
  }
  return answer;
}

std::vector<result<rank_report>> agent_engine_port::Reports(
    std::span<const upstream_record* const> ranks) {
  std::vector<result<rank_report>> reports(
      ranks.size(), MakeError(error_code::kUnavailable, "the rank has not been read"));
  RunParallel(ranks.size(), [&](std::size_t i) {
    if (ShouldCallAgent(*ranks[i])) {
      const auto answer = Call(*ranks[i], "rank.report", {});
      if (answer) {
        retry_agent_at_.erase(ranks[i]->address.address);
        reports[i] = RankReportFromJson(answer.value());
        return;
      }
    }
    const std::array<const upstream_record*, 1> one{ranks[i]};
    reports[i] = std::move(direct_->Reports(one).front());
  });
  return reports;
}

std::vector<result<pick_counts>> agent_engine_port::Counts(
    std::span<const upstream_record* const> ranks) {
  std::vector<result<pick_counts>> counts(
      ranks.size(),
      MakeError(error_code::kUnavailable, "no agent of the rank is configured or reachable"));
  const time_point expiry = Now() - kCountExpiry;
  std::erase_if(counts_, [&](const auto& item) { return item.second.last_read < expiry; });
  // There is no fallback to the engine itself: a count read from another host pauses the whole
  // group.
  RunParallel(ranks.size(), [&](std::size_t i) {
    if (!ShouldCallAgent(*ranks[i]))
      return;
    counts[i] = ReadCounts(*ranks[i]);
  });
  return counts;
}

result<pick_counts> agent_engine_port::ReadCounts(const upstream_record& rank) {
  const std::uint64_t since = counts_[rank.id].sum.mark();
  BOOST_OUTCOME_TRY(const boost::json::value answer,
                    Call(rank, "rank.counts", {{"since", since}, {"least", kMinMeanChoices}}));
  BOOST_OUTCOME_TRY(const count_window window, CountWindowFromJson(answer));
  accumulated_counts& known = counts_[rank.id];
  known.last_read = Now();
  return known.sum.Add(window);
}

std::vector<result<held_experts>> agent_engine_port::Held(
    std::span<const upstream_record* const> ranks) {
  std::vector<result<held_experts>> held(
      ranks.size(), MakeError(error_code::kUnavailable, "the rank has not been read"));
  RunParallel(ranks.size(), [&](std::size_t i) {
    if (ShouldCallAgent(*ranks[i])) {
      const auto answer = Call(*ranks[i], "rank.held", {});
      if (answer) {
        held[i] = HeldExpertsFromJson(answer.value());
        return;
      }
    }
    const std::array<const upstream_record*, 1> one{ranks[i]};
    held[i] = std::move(direct_->Held(one).front());
  });
  return held;
}

std::vector<order_answer> agent_engine_port::Send(std::span<const rank_order> orders,
                                                  milliseconds answer_timeout) {
  return direct_->Send(orders, answer_timeout);
}

}  // namespace quincebank
