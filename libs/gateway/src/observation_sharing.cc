#include "quincebank/gateway/observation_sharing.h"

#include <algorithm>
#include <array>
#include <utility>

#include "quincebank/expert_control/load_messages.h"

namespace quincebank {
namespace {

/// Whether the upstream takes requests, from what this entry knows.
bool IsUsable(const known_upstream& upstream, time_point now) noexcept {
  return !upstream.health->IsEjected(now) && !upstream.health->observations().IsAvoided(now) &&
         !upstream.health->leaving() && upstream.health->paused_until() <= now;
}

service_upstreams CountUpstreams(std::span<const known_upstream> upstreams,
                                 const known_upstream& of,
                                 time_point now) noexcept {
  service_upstreams counts;
  for (const known_upstream& upstream : upstreams) {
    if (upstream.superseded || !upstream.may_send || upstream.record.leaving)
      continue;
    ++counts.total;
    if (upstream.record.id != of.record.id && IsUsable(upstream, now))
      ++counts.usable_others;
  }
  return counts;
}

}  // namespace

double LimitPhaseOf(const fleet_snapshot& snapshot,
                    std::string_view entry,
                    std::string_view upstream,
                    double random) {
  const auto rank = static_cast<std::size_t>(
      std::count_if(snapshot.entries.begin(), snapshot.entries.end(),
                    [&](const entry_record& other) { return other.name < entry; }));
  return LimitPhase(upstream, rank, snapshot.expected_entries, random);
}

observation_sharing::observation_sharing(std::string entry,
                                         event_log& log,
                                         gateway_metrics& metrics,
                                         std::uint64_t seed)
    : entry_(std::move(entry)), log_(log), metrics_(metrics), random_(seed) {}

void observation_sharing::OnReport(const fleet_snapshot& snapshot,
                                   std::span<const known_upstream> upstreams,
                                   const known_upstream& upstream,
                                   const std::optional<observation_summary>& summary,
                                   time_point now) {
  const auto known = avoided_.find(upstream.record.id);
  const bool limited = upstream.health->observations().AcceptedLimit(now).has_value();
  if (!summary && known == avoided_.end() && !limited)
    return;
  const service_upstreams service = CountUpstreams(upstreams, upstream, now);
  const report_decision decision =
      upstream.health->observations().OnSummary(summary, upstream.record.incarnation, service, now);
  if (decision != report_decision::kNothingReported)
    metrics_.reports.at(static_cast<std::size_t>(decision))->Add();
  ApplyLimit(snapshot, upstream, now);
  const avoidance current{known != avoided_.end() ? known->second.since : now, decision, summary,
                          service};
  if (known != avoided_.end()) {
    known->second = current;
  } else if (decision == report_decision::kAccepted) {
    avoided_.emplace(upstream.record.id, current);
    LogAvoidance("upstream.avoided", upstream, current, now);
  }
}

void observation_sharing::ApplyLimit(const fleet_snapshot& snapshot,
                                     const known_upstream& upstream,
                                     time_point now) {
  const auto limit = upstream.health->observations().AcceptedLimit(now);
  if (!limit) {
    if (upstream.health->OnReportedLimitEnd())
      log_.Write(event_line("upstream.reported_limit_ended").Add("upstream", upstream.record.id));
    return;
  }
  const double phase = LimitPhaseOf(snapshot, entry_, upstream.record.id, random_.Unit());
  if (upstream.health->OnReportedLimit(*limit, snapshot.expected_entries, phase, now)) {
    log_.Write(event_line("upstream.reported_limit")
                   .Add("upstream", upstream.record.id)
                   .Add("per_second", *limit)
                   .Add("entries", static_cast<std::uint64_t>(snapshot.expected_entries)));
  }
}

void observation_sharing::LogAvoidance(std::string_view event,
                                       const known_upstream& upstream,
                                       const avoidance& avoided,
                                       time_point now) {
  const observation_exchange& own = upstream.health->observations();
  event_line line(event);
  line.Add("upstream", upstream.record.id)
      .Add("decision", ToString(avoided.last))
      .Add("ms", now - avoided.since);
  if (avoided.summary) {
    for (std::size_t kind = 0; kind < kReportedKinds; ++kind)
      line.Add(ToString(static_cast<observation_kind>(kind)), avoided.summary->entries[kind]);
    line.Add("pause_ms", avoided.summary->pause_left)
        .Add("incarnation", avoided.summary->incarnation);
  }
  if (const auto served = own.SinceServed(now))
    line.Add("served_ms", *served);
  if (const auto evidence = own.SinceEvidence(now))
    line.Add("own_evidence_ms", *evidence);
  line.Add("registered_incarnation", upstream.record.incarnation)
      .Add("upstreams", avoided.service.total)
      .Add("usable_others", avoided.service.usable_others);
  log_.Write(std::move(line));
}

void observation_sharing::SendDue(const fleet_snapshot& snapshot,
                                  const sender& send,
                                  time_point now) {
  for (const auto& [service, upstreams] : snapshot.upstreams) {
    for (const known_upstream& upstream : upstreams) {
      if (!upstream.record.group || upstream.superseded || !upstream.may_send)
        continue;
      ApplyLimit(snapshot, upstream, now);
      const auto known = avoided_.find(upstream.record.id);
      if (known != avoided_.end() && !upstream.health->observations().IsAvoided(now)) {
        LogAvoidance("upstream.avoided_end", upstream, known->second, now);
        avoided_.erase(known);
      }
      const own_statements own{upstream.health->leaving(), upstream.health->paused_until()};
      for (const due_observation& due : upstream.health->observations().TakeDue(own, now)) {
        const upstream_observation observed{upstream.record.id, upstream.record.incarnation,
                                            due.kind, due.value, due.age};
        if (send(upstream.record, Encode(observed)))
          metrics_.observations_sent.at(static_cast<std::size_t>(due.kind))->Add();
      }
    }
  }
  // Upstreams whose registrations have ended.
  std::erase_if(avoided_, [&](const auto& avoided) {
    return std::none_of(
        snapshot.upstreams.begin(), snapshot.upstreams.end(), [&](const auto& service) {
          return std::any_of(
              service.second.begin(), service.second.end(),
              [&](const known_upstream& upstream) { return upstream.record.id == avoided.first; });
        });
  });
}

}  // namespace quincebank
