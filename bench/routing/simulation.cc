#include "simulation.h"

#include <algorithm>
#include <string>
#include <utility>

namespace quincebank {
namespace {

constexpr sim_time kLocalLatency{200};
constexpr sim_time kSilenceLimit{3'000'000};
/// Longest time until an agent or an entry learns of a drain or a return.
constexpr std::uint64_t kAgentLearnsUs = 1'000'000;
constexpr std::uint64_t kEntryLearnsUs = 2'000'000;
/// Lag of the host list after a loss.
constexpr sim_time kHostListLag{10'000'000};

}  // namespace

sim_result Simulate(const sim_config& config) {
  return simulation(config).Run();
}

double phase_result::FirstTokenMs(double quantile) const {
  if (first_token_us.empty())
    return 0;
  std::vector<std::uint32_t> sorted = first_token_us;
  const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank),
                   sorted.end());
  return sorted[rank] / 1e3;
}

void phase_result::Add(const phase_result& other) {
  for (std::uint64_t phase_result::*const sum :
       {&phase_result::requests, &phase_result::succeeded, &phase_result::rejected,
        &phase_result::late, &phase_result::hops, &phase_result::reruns, &phase_result::unknown,
        &phase_result::blocks, &phase_result::cached_blocks}) {
    this->*sum += other.*sum;
  }
  first_token_us.insert(first_token_us.end(), other.first_token_us.begin(),
                        other.first_token_us.end());
}

simulation::simulation(const sim_config& config)
    : config_(config),
      policy_(*FindRoutePolicy(config.policy)),
      workload_(config.workload, config.seed),
      random_(Mix64(config.seed + 1)),
      domain_lost_(config.domains),
      reports_(config.replicas),
      window_arrivals_(config.replicas) {
  for (std::uint32_t i = 0; i < config_.domains; ++i)
    domain_names_.push_back("domain-" + std::to_string(i));
  for (std::uint32_t i = 0; i < config_.regions; ++i)
    region_names_.push_back("region-" + std::to_string(i));
  std::vector<upstream> upstreams;
  for (std::uint32_t i = 0; i < config_.replicas; ++i) {
    engines_.emplace_back(config_.engine);
    upstreams.push_back({.id = "replica-" + std::to_string(i),
                         .failure_domain = domain_names_[DomainOf(i)],
                         .region = region_names_[RegionOf(DomainOf(i))],
                         .model_version = std::string(config_.model_version)});
  }
  const auto table = routing_table::Build("drafts", std::move(upstreams)).value();
  for (std::uint32_t i = 0; i < config_.entries; ++i) {
    entries_.emplace_back(config_, table, random_.Next());
    addresses_.push_back({.address = std::to_string(i),
                          .port = 443,
                          .host = "entry-" + std::to_string(i),
                          .failure_domain = domain_names_[DomainOf(i)]});
  }
  result_.phases.resize(config_.phases.size() + 1);
  samples_.resize(config_.phases.size() + 1);
}

void simulation::Schedule(sim_time at, event_kind kind, std::uint32_t a, std::uint64_t b) {
  events_.push({at, order_++, kind, a, b});
}

sim_result simulation::Run() {
  Schedule(sim_time(0), event_kind::kConversation);
  Schedule(sim_time(0), event_kind::kReport);
  for (std::uint32_t i = 0; i < config_.entries; ++i) {
    // Entries do not poll in step.
    const auto offset =
        static_cast<std::int64_t>(random_.Below(static_cast<std::uint64_t>(kPollEvery.count())));
    Schedule(sim_time(offset), event_kind::kPoll, i);
  }
  if (config_.feed.cache_events)
    Schedule(config_.feed.event_batch, event_kind::kCacheFlush);
  for (std::size_t i = 0; i < config_.changes.size(); ++i)
    Schedule(config_.changes[i].at, event_kind::kDomain, 0, i);
  while (!events_.empty() && events_.top().at <= config_.end) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    Handle(next);
  }
  for (std::size_t i = 0; i < samples_.size(); ++i) {
    const auto samples = static_cast<double>(std::max<std::uint64_t>(samples_[i], 1));
    result_.phases[i].imbalance /= samples;
    result_.phases[i].burst /= samples;
  }
  result_.phases.pop_back();
  result_.event_bytes_per_second = event_bytes_ / (static_cast<double>(now_.count()) / 1e6);
  return std::move(result_);
}

void simulation::Handle(const event& one) {
  // Events of an attempt that was given up carry an old ticket.
  switch (one.kind) {
    case event_kind::kAtEngine:
    case event_kind::kNotRun:
    case event_kind::kConnectFailed:
    case event_kind::kSilence:
    case event_kind::kFirstToken:
    case event_kind::kFinish:
      if (!requests_[one.a].in_use || requests_[one.a].ticket != one.b)
        return;
      break;
    default:
      break;
  }
  switch (one.kind) {
    case event_kind::kConversation:
      return StartConversation();
    case event_kind::kTurn:
      return StartTurn(one.a);
    case event_kind::kAtEngine:
      return AtEngine(one.a);
    case event_kind::kNotRun:
      ++ResultOf(requests_[one.a]).hops;
      return Retry(one.a);
    case event_kind::kConnectFailed:
      ++ResultOf(requests_[one.a]).hops;
      Suspect(requests_[one.a]);
      return Retry(one.a);
    case event_kind::kSilence:
      return Silence(one.a);
    case event_kind::kFirstToken:
      return FirstToken(one.a);
    case event_kind::kFinish:
      return Finish(one.a);
    case event_kind::kReport:
      return Report();
    case event_kind::kPoll:
      return Poll(one.a);
    case event_kind::kCacheFlush:
      return FlushCache();
    case event_kind::kCacheDeliver:
      return DeliverCache();
    case event_kind::kDomain:
      return ChangeDomain(config_.changes[one.b]);
    case event_kind::kAgentLearns:
      return AgentLearns(one.a, config_.changes[one.b]);
    case event_kind::kEntryLearns:
      return EntryLearns(one.a, config_.changes[one.b]);
  }
}

sim_time simulation::Latency(std::uint32_t domain_a, std::uint32_t domain_b) const {
  if (RegionOf(domain_a) != RegionOf(domain_b))
    return config_.region_latency;
  return domain_a == domain_b ? kLocalLatency : config_.domain_latency;
}

std::size_t simulation::PhaseAt(sim_time at) const {
  for (std::size_t i = 0; i < config_.phases.size(); ++i) {
    if (at >= config_.phases[i].begin && at < config_.phases[i].end)
      return i;
  }
  return config_.phases.size();
}

std::uint32_t simulation::AliveEntry(std::uint32_t caller_domain) {
  const auto order =
      OrderEntries(addresses_, domain_names_[caller_domain], random_.Next(), addresses_.size());
  for (const entry_address& address : order) {
    const auto index = static_cast<std::uint32_t>(std::stoul(address.address));
    if (!domain_lost_[DomainOf(index)])
      return index;
  }
  return 0;
}

void simulation::ChangeDomain(const domain_event& change) {
  const auto number = static_cast<std::uint64_t>(&change - config_.changes.data());
  const bool lost = change.what == domain_event::kind::kLose;
  if (change.what != domain_event::kind::kDrain)
    domain_lost_[change.domain] = lost;
  for (std::uint32_t i = 0; i < config_.replicas; ++i) {
    if (DomainOf(i) != change.domain)
      continue;
    if (!lost) {
      const auto delay = static_cast<std::int64_t>(random_.Below(kAgentLearnsUs));
      Schedule(now_ + sim_time(delay), event_kind::kAgentLearns, i, number);
      continue;
    }
    engines_[i].Lose();
    for (std::uint32_t id = 0; id < requests_.size(); ++id) {
      request& one = requests_[id];
      if (!one.in_use || one.engine != i || one.boot == 0)
        continue;
      ++one.ticket;
      Schedule(now_ + kSilenceLimit, event_kind::kSilence, id, one.ticket);
    }
  }
  for (std::uint32_t i = 0; i < config_.entries; ++i) {
    const sim_time lag =
        lost ? kHostListLag : sim_time(static_cast<std::int64_t>(random_.Below(kEntryLearnsUs)));
    if (lost || config_.tell_entries || change.what == domain_event::kind::kReturn)
      Schedule(now_ + lag, event_kind::kEntryLearns, i, number);
  }
}

void simulation::AgentLearns(std::uint32_t engine, const domain_event& change) {
  if (change.what == domain_event::kind::kDrain) {
    engines_[engine].Drain();
  } else {
    engines_[engine].Return(now_);
  }
}

void simulation::EntryLearns(std::uint32_t entry, const domain_event& change) {
  upstream_state state = upstream_state::kUsable;
  if (change.what == domain_event::kind::kDrain)
    state = upstream_state::kDrained;
  if (change.what == domain_event::kind::kLose)
    state = upstream_state::kLeaving;
  std::vector<std::uint32_t> members;
  for (std::uint32_t i = 0; i < config_.replicas; ++i) {
    if (DomainOf(i) != change.domain)
      continue;
    members.push_back(i);
    // Nothing that was known before the return is still true.
    if (change.what == domain_event::kind::kReturn)
      entries_[entry].Hint(i, upstream_load{}, now_);
    if (entries_[entry].index() != nullptr && change.what != domain_event::kind::kDrain)
      entries_[entry].index()->Forget(entries_[entry].table().key(i));
  }
  entries_[entry].SetStates(members, state);
}

}  // namespace quincebank
