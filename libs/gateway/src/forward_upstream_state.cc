// What an upstream states about itself in its answers.

#include "forward_flow.h"
#include "quincebank/base/clock.h"
#include "quincebank/gateway/observation_sharing.h"

namespace quincebank {

void forward_flow::ApplyUpstreamState(const known_upstream& upstream,
                                      const http_stream& stream) const {
  const upstream_response_info info =
      shared_.codec.DecodeResponse(stream.status(), stream.headers());
  // The answer of another instance, or one without an id, is no evidence about this upstream.
  if (info.wrong_instance || info.attempt_id.empty())
    return;
  ApplyStatedLimit(upstream, info);
  if (info.leaving || (info.retry_after && info.retry_after->count() > 0))
    upstream.health->observations().OnStatement(Now());
  if (info.leaving && !upstream.health->leaving()) {
    upstream.health->OnLeaving();
    shared_.log.Write(event_line("upstream.announced_leaving")
                          .Add("upstream", upstream.record.id)
                          .Add("request", request_.attempt_id)
                          .Add("status", stream.status()));
  }
  if (!info.retry_after || info.retry_after->count() == 0)
    return;
  upstream.health->OnPause(Now() + *info.retry_after);
  shared_.log.Write(event_line("upstream.paused")
                        .Add("upstream", upstream.record.id)
                        .Add("request", request_.attempt_id)
                        .Add("for_ms", *info.retry_after));
}

void forward_flow::ApplyStatedLimit(const known_upstream& upstream,
                                    const upstream_response_info& info) const {
  if (info.unreadable_limit_bytes > 0) {
    // The limit that was stated before stays.
    if (upstream.health->OnUnreadableLimit()) {
      shared_.log.Write(event_line("upstream.limit_unreadable")
                            .Add("upstream", upstream.record.id)
                            .Add("bytes", info.unreadable_limit_bytes));
    }
    return;
  }
  upstream.health->observations().OnStatedLimit(info.rate_limit, Now());
  if (!info.rate_limit) {
    if (upstream.health->OnStatedLimitWithdrawn())
      shared_.log.Write(event_line("upstream.unlimited").Add("upstream", upstream.record.id));
    return;
  }
  const std::size_t entries = snapshot_->expected_entries;
  const double phase =
      LimitPhaseOf(*snapshot_, shared_.settings.name, upstream.record.id, shared_.random.Unit());
  if (upstream.health->OnStatedLimit(*info.rate_limit, entries, phase, Now())) {
    shared_.log.Write(event_line("upstream.limited")
                          .Add("upstream", upstream.record.id)
                          .Add("request", request_.attempt_id)
                          .Add("per_second", *info.rate_limit)
                          .Add("entries", static_cast<std::uint64_t>(entries)));
  }
}

}  // namespace quincebank
