#include "quincebank/placement/upstream_observations.h"

#include <algorithm>
#include <iterator>

namespace quincebank {
namespace {

// Entries renew at most every 500 ms; the difference allows for the jitter of datagrams.
constexpr milliseconds kMinRenewalInterval{400};
// Difference of two ages of one observation that delays in the network explain.
constexpr milliseconds kAgeTolerance{100};

struct kind_bounds {
  std::string_view name;
  std::int64_t max_value;
  milliseconds max_age;
};

// Entries report silence and failures for at most 10 s after they saw them, and a service for 1 s.
// A pause of more than 30 s or a limit beyond a million requests per second is no plausible
// statement.
constexpr std::array<kind_bounds, kObservationKinds> kBounds{{
    {"silent", 60'000, milliseconds(10'000)},
    {"failing", 0, milliseconds(10'000)},
    {"leaving", 0, milliseconds(60'000)},
    {"paused", 30'000, milliseconds(60'000)},
    {"stated_limit", 1'000'000'000, milliseconds(2'000)},
    {"served", 0, milliseconds(1'000)},
}};

}  // namespace

std::string_view ToString(observation_kind kind) noexcept {
  return kBounds.at(static_cast<std::size_t>(kind)).name;
}

std::string_view ToString(observation_reception reception) noexcept {
  constexpr std::array<std::string_view, kObservationReceptions> kNames{
      "accepted", "unknown_engine", "other_incarnation", "out_of_range",
      "refuted",  "outdated",       "too_frequent",      "table_full"};
  return kNames.at(static_cast<std::size_t>(reception));
}

void upstream_observations::OnEngine(std::string_view upstream, std::uint64_t incarnation) {
  if (upstream_ == upstream && incarnation_ == incarnation)
    return;
  upstream_ = upstream;
  incarnation_ = incarnation;
  entries_.clear();
  served_at_.reset();
}

bool upstream_observations::IsRefuted(observation_kind kind, time_point began_at) const noexcept {
  const bool refutable = kind == observation_kind::kSilent || kind == observation_kind::kFailing;
  return refutable && served_at_ && began_at <= *served_at_;
}

observation_reception upstream_observations::OnObservation(const endpoint& sender,
                                                           const upstream_observation& observed,
                                                           time_point now) {
  const auto kind = static_cast<std::size_t>(observed.kind);
  if (incarnation_ == 0 || observed.upstream != upstream_)
    return observation_reception::kUnknownEngine;
  if (observed.incarnation != incarnation_)
    return observation_reception::kOtherIncarnation;
  if (kind >= kObservationKinds || observed.value < 0 || observed.value > kBounds[kind].max_value ||
      observed.age < milliseconds(0) || observed.age > kBounds[kind].max_age)
    return observation_reception::kOutOfRange;
  Expire(now);
  const time_point observed_at = now - observed.age;
  if (observed.kind == observation_kind::kServed) {
    served_at_ = std::max(served_at_.value_or(observed_at), observed_at);
    return observation_reception::kAccepted;
  }
  // A request that was sent before another one was served may just be slow.
  const time_point began_at = observed.kind == observation_kind::kSilent
                                  ? observed_at - milliseconds(observed.value)
                                  : observed_at;
  if (IsRefuted(observed.kind, began_at))
    return observation_reception::kRefuted;
  const auto found = entries_.find(sender);
  if (found == entries_.end() && entries_.size() >= kMaxEntries)
    return observation_reception::kTableFull;
  if (found != entries_.end() && found->second[kind]) {
    if (now - found->second[kind]->received_at < kMinRenewalInterval)
      return observation_reception::kTooFrequent;
    if (observed_at + kAgeTolerance < found->second[kind]->observed_at)
      return observation_reception::kOutdated;
  }
  entries_[sender][kind] = observation{now, observed_at, began_at, observed.value};
  return observation_reception::kAccepted;
}

void upstream_observations::Expire(time_point now) {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    bool any = false;
    for (std::size_t kind = 0; kind < kReportedKinds; ++kind) {
      auto& held = entry->second[kind];
      if (held && (now - held->received_at > kLifetime ||
                   IsRefuted(static_cast<observation_kind>(kind), held->began_at)))
        held.reset();
      any = any || held;
    }
    entry = any ? std::next(entry) : entries_.erase(entry);
  }
}

std::optional<observation_summary> upstream_observations::Summary(std::string_view upstream,
                                                                  time_point now) {
  Expire(now);
  if (upstream != upstream_ || entries_.empty())
    return std::nullopt;
  observation_summary summary;
  summary.incarnation = incarnation_;
  constexpr auto kPause = static_cast<std::size_t>(observation_kind::kPaused);
  constexpr auto kLimit = static_cast<std::size_t>(observation_kind::kStatedLimit);
  time_point pause_observed_at{};
  time_point limit_observed_at{};
  for (const auto& [sender, observations] : entries_) {
    for (std::size_t kind = 0; kind < kReportedKinds; ++kind)
      summary.entries[kind] += observations[kind] ? 1 : 0;
    const auto& pause = observations[kPause];
    if (pause && pause->observed_at > pause_observed_at) {
      pause_observed_at = pause->observed_at;
      const auto left = pause->received_at + milliseconds(pause->value) - now;
      summary.pause_left =
          std::max(std::chrono::duration_cast<milliseconds>(left), milliseconds(0));
    }
    const auto& limit = observations[kLimit];
    if (limit && limit->observed_at > limit_observed_at) {
      limit_observed_at = limit->observed_at;
      summary.limit = limit->value;
    }
  }
  return summary;
}

}  // namespace quincebank
