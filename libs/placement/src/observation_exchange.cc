#include "quincebank/placement/observation_exchange.h"

#include <algorithm>
#include <cmath>

namespace quincebank {
namespace {

// Silence and failures that fewer entries report may be faults of their own links.
constexpr int kMinEntries = 2;
// A service this recent refutes reports of silence and failures.
constexpr milliseconds kServedTime{1'000};
// What others report ends after this time unless it is reported again.
constexpr milliseconds kAcceptanceTime{1'000};
// Interval of renewals of one kind; the agent discards what is not renewed within 2 s.
constexpr milliseconds kRenewalPeriod{500};
// For this time a request that was silent is reported after its end: a client may have left early,
// so a short silence is weak evidence.
constexpr milliseconds kSilentAttemptEvidence{2'000};
// Longest time for which a timeout or a failure is reported. The own ejection, at most 4 s, and one
// probe end before.
constexpr milliseconds kMaxEvidenceAge{10'000};
// From this age of its own evidence on, an entry may probe an upstream that others report too. The
// longest own ejection has this length. Each further entry that reports it makes the probes of each
// one rarer.
constexpr milliseconds kMinProbeAge{4'000};
constexpr milliseconds kProbeAgePerEntry{1'000};
constexpr milliseconds kMaxProbeAge{8'000};
// The registration of an upstream that leaves shows it within this time.
constexpr milliseconds kMaxLeavingAge{60'000};
// Each answer repeats a stated limit.
constexpr milliseconds kMaxLimitAge{1'000};
constexpr std::int64_t kMaxPauseMillis = 30'000;
constexpr std::int64_t kMaxSilenceMillis = 60'000;
constexpr double kLimitUnit = 1'000;
constexpr double kMaxLimit = 1e6;

milliseconds Since(time_point then, time_point now) noexcept {
  return std::chrono::duration_cast<milliseconds>(now - then);
}

}  // namespace

std::string_view ToString(report_decision decision) noexcept {
  constexpr std::array<std::string_view, kReportDecisions> kNames{
      "nothing_reported", "accepted",  "other_incarnation", "too_few_entries",
      "served_here",      "own_probe", "too_few_left"};
  return kNames.at(static_cast<std::size_t>(decision));
}

void observation_exchange::OnSilentAttempt(time_point began_at, time_point now) noexcept {
  ++silent_attempts_;
  silence_began_at_ = std::max(silence_began_at_, began_at);
  silent_at_ = now;
}

void observation_exchange::OnSilentAttemptEnd(time_point now) noexcept {
  --silent_attempts_;
  if (!silent_at_)
    return;
  silent_at_ = now;
  silent_until_ = std::max(silent_until_, now + kSilentAttemptEvidence);
}

void observation_exchange::OnTimeout(time_point began_at, time_point now) noexcept {
  silence_began_at_ = std::max(silence_began_at_, began_at);
  silent_at_ = now;
  silent_until_ = now + kMaxEvidenceAge;
}

void observation_exchange::OnFailure(time_point now) noexcept {
  failed_at_ = now;
}

void observation_exchange::OnServed(time_point now) noexcept {
  served_at_ = now;
  failed_at_.reset();
  silent_at_.reset();
  silent_until_ = {};
  if (silent_attempts_ > 0)
    silent_at_ = now;
}

void observation_exchange::OnStatedLimit(std::optional<double> per_second,
                                         time_point now) noexcept {
  stated_limit_ = per_second;
  limit_stated_at_ = now;
}

bool observation_exchange::ServedRecently(time_point now) const noexcept {
  return served_at_ && now - *served_at_ < kServedTime;
}

report_decision observation_exchange::Decide(const observation_summary& summary,
                                             const service_upstreams& service,
                                             time_point now) const noexcept {
  // Statements of the upstream itself need one entry.
  if (summary.Count(observation_kind::kLeaving) > 0 || summary.pause_left > milliseconds(0))
    return report_decision::kAccepted;
  const int entries =
      std::max(summary.Count(observation_kind::kSilent), summary.Count(observation_kind::kFailing));
  if (entries == 0)
    return report_decision::kNothingReported;
  if (entries < kMinEntries)
    return report_decision::kTooFewEntries;
  if (ServedRecently(now))
    return report_decision::kServedHere;
  const auto evidence_age = SinceEvidence(now);
  const auto probe_age =
      std::min(kMinProbeAge + kProbeAgePerEntry * (entries - kMinEntries), kMaxProbeAge);
  if (evidence_age && *evidence_age >= probe_age && *evidence_age < kMaxEvidenceAge)
    return report_decision::kOwnProbe;
  if (service.usable_others * 2 < service.total)
    return report_decision::kTooFewLeft;
  return report_decision::kAccepted;
}

report_decision observation_exchange::OnSummary(const std::optional<observation_summary>& summary,
                                                std::uint64_t incarnation,
                                                const service_upstreams& service,
                                                time_point now) {
  const bool same = summary && summary->incarnation == incarnation && incarnation != 0;
  const report_decision decision = !summary ? report_decision::kNothingReported
                                   : !same  ? report_decision::kOtherIncarnation
                                            : Decide(*summary, service, now);
  avoided_until_ = now;
  if (decision == report_decision::kAccepted) {
    const bool by_entries = summary->Count(observation_kind::kLeaving) > 0 ||
                            summary->Count(observation_kind::kSilent) >= kMinEntries ||
                            summary->Count(observation_kind::kFailing) >= kMinEntries;
    avoided_until_ =
        now + (by_entries ? kAcceptanceTime : std::min(kAcceptanceTime, summary->pause_left));
  }
  const bool own_limit = limit_stated_at_ && now - *limit_stated_at_ < kMaxLimitAge;
  limit_until_ = now;
  if (same && !own_limit && summary->Count(observation_kind::kStatedLimit) > 0) {
    limit_until_ = now + kAcceptanceTime;
    accepted_limit_ = static_cast<double>(summary->limit) / kLimitUnit;
  }
  if (same && (summary->Count(observation_kind::kSilent) > 0 ||
               summary->Count(observation_kind::kFailing) > 0))
    reported_until_ = now + kAcceptanceTime;
  return decision;
}

std::optional<milliseconds> observation_exchange::SinceServed(time_point now) const noexcept {
  return served_at_ ? std::optional<milliseconds>(Since(*served_at_, now)) : std::nullopt;
}

std::optional<milliseconds> observation_exchange::SinceEvidence(time_point now) const noexcept {
  if (silent_attempts_ > 0)
    return milliseconds(0);
  if (!silent_at_ && !failed_at_)
    return std::nullopt;
  return Since(std::max(silent_at_.value_or(time_point{}), failed_at_.value_or(time_point{})), now);
}

std::optional<double> observation_exchange::AcceptedLimit(time_point now) const noexcept {
  return now < limit_until_ ? std::optional<double>(accepted_limit_) : std::nullopt;
}

std::int64_t observation_exchange::Silence(time_point until) const noexcept {
  return std::clamp<std::int64_t>(Since(silence_began_at_, until).count(), 0, kMaxSilenceMillis);
}

std::optional<due_observation> observation_exchange::Observe(observation_kind kind,
                                                             const own_statements& own,
                                                             time_point now) const noexcept {
  switch (kind) {
    case observation_kind::kSilent:
      if (!silent_at_ || (served_at_ && silence_began_at_ <= *served_at_))
        return std::nullopt;
      if (silent_attempts_ > 0)
        return due_observation{kind, Silence(now), milliseconds(0)};
      if (now >= silent_until_)
        return std::nullopt;
      return due_observation{kind, Silence(*silent_at_), Since(*silent_at_, now)};
    case observation_kind::kFailing:
      if (!failed_at_ || now - *failed_at_ >= kMaxEvidenceAge)
        return std::nullopt;
      return due_observation{kind, 0, Since(*failed_at_, now)};
    case observation_kind::kLeaving:
      if (!own.leaving || !stated_at_ || now - *stated_at_ >= kMaxLeavingAge)
        return std::nullopt;
      return due_observation{kind, 0, Since(*stated_at_, now)};
    case observation_kind::kPaused:
      if (own.paused_until <= now || !stated_at_ || now - *stated_at_ >= kMaxLeavingAge)
        return std::nullopt;
      return due_observation{
          kind,
          std::min<std::int64_t>(std::chrono::ceil<milliseconds>(own.paused_until - now).count(),
                                 kMaxPauseMillis),
          Since(*stated_at_, now)};
    case observation_kind::kStatedLimit:
      if (!stated_limit_ || !limit_stated_at_ || now - *limit_stated_at_ >= kMaxLimitAge)
        return std::nullopt;
      return due_observation{kind, std::llround(std::min(*stated_limit_, kMaxLimit) * kLimitUnit),
                             Since(*limit_stated_at_, now)};
    case observation_kind::kServed:
      // Only refutes: without reports of silence or failures it would be sent all the time.
      if (now >= reported_until_ || !ServedRecently(now))
        return std::nullopt;
      return due_observation{kind, 0, Since(*served_at_, now)};
  }
  return std::nullopt;
}

std::vector<due_observation> observation_exchange::TakeDue(const own_statements& own,
                                                           time_point now) {
  std::vector<due_observation> due;
  for (std::size_t kind = 0; kind < kObservationKinds; ++kind) {
    auto& sent_at = sent_at_[kind];
    if (sent_at && now - *sent_at < kRenewalPeriod)
      continue;
    const auto observed = Observe(static_cast<observation_kind>(kind), own, now);
    if (!observed)
      continue;
    sent_at = now;
    due.push_back(*observed);
  }
  return due;
}

}  // namespace quincebank
