#pragma once

#include <cstdint>

#include "quincebank/base/time.h"

namespace quincebank {

/// \brief Estimates and penalties from which a candidate's score, a time in microseconds, is made.
///
/// They are part of the recorded input, so a decision can be replayed after they change.
struct route_settings {
  using microseconds = std::chrono::microseconds;

  /// Time that a running request keeps its place at an upstream.
  microseconds service_time{4'000'000};
  /// Added time to the first token when all places of an upstream are taken.
  microseconds full_slowdown{200'000};
  /// Time to compute one prompt block that is not in the prefix cache.
  microseconds block_prefill{20'000};
  /// Penalty for an upstream outside the caller's failure domain.
  microseconds domain_penalty{1'000};
  /// Penalty for an upstream outside the caller's region.
  microseconds region_penalty{60'000};
  /// Penalty for an upstream in the failure domain of one that was already tried: a lost failure
  /// domain must not cost one failed connection for each of its upstreams.
  microseconds retry_domain_penalty{500'000};
  /// Penalty for an upstream in a failure domain whose upstreams are all suspected; scaled by
  /// `routing_table::SuspectedShare`.
  microseconds lost_domain_penalty{2'000'000};
  /// Blocks of a prompt that select the upstreams shared by a template.
  std::uint32_t template_blocks = 2;
  /// Blocks of a prompt that select the upstreams of one conversation.
  std::uint32_t conversation_blocks = 6;
  /// Load above the limit, in percent of the limit, at which priority 9 counts as full.
  std::uint32_t queue_percent = 300;
  /// Limit assumed for an upstream that has sent no hint.
  std::uint32_t unknown_limit = 2;
  /// Age at which a hint no longer excludes an upstream as full or too slow.
  milliseconds hint_lifetime{2'000};

  [[nodiscard]] bool operator==(const route_settings&) const noexcept = default;
};

}  // namespace quincebank
