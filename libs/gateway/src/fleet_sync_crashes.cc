// Part of fleet_sync: shares reports on crashed upstreams with the other entries.

#include "fleet_keys.h"
#include "quincebank/base/clock.h"
#include "quincebank/gateway/fleet_sync.h"

namespace quincebank {
namespace {

// All requests that an upstream ran end within this time after its crash.
constexpr milliseconds kJoinTime{20};
constexpr int kMaxWriteTries = 10;
constexpr milliseconds kWriteRetryDelay{500};
// Reports are needed for about as long as a segment stays blocked; the store allows no longer
// lease.
constexpr milliseconds kCrashLease{600'000};
// The lease is replaced at half of its time, so that each report lasts for the other half at least.
constexpr milliseconds kMaxCrashLeaseAge = kCrashLease / 2;

}  // namespace

void fleet_sync::ShareCrash(const crash_report& report) {
  const auto [found, first] = unshared_crashes_.try_emplace(report.upstream, report);
  if (!first) {
    std::vector<std::vector<std::string>>& joined = found->second.requests;
    joined.insert(joined.end(), report.requests.begin(), report.requests.end());
    return;
  }
  ++running_loops_;
  bool stopped = stop_.WaitFor(kJoinTime);
  for (int tries = 0; !stopped && tries < kMaxWriteTries; ++tries) {
    const auto written = WriteCrash(unshared_crashes_.at(report.upstream));
    if (written)
      break;
    log_.Write(event_line("crash.not_shared")
                   .Add("upstream", report.upstream)
                   .Add("reason", written.error().message));
    stopped = stop_.WaitFor(kWriteRetryDelay);
  }
  unshared_crashes_.erase(report.upstream);
  --running_loops_;
}

result<store_lease> fleet_sync::CrashLease() {
  if (crash_lease_.empty() || Now() - crash_lease_opened_ >= kMaxCrashLeaseAge) {
    const time_point opened = Now();
    BOOST_OUTCOME_TRY(crash_lease_, store_.OpenLease(kCrashLease));
    crash_lease_opened_ = opened;
  }
  return crash_lease_;
}

result<void> fleet_sync::WriteCrash(const crash_report& report) {
  BOOST_OUTCOME_TRY(const store_lease lease, CrashLease());
  const std::string key = std::string(kCrashPrefix) + report.upstream + "/" + settings_.name;
  auto written = PutNoted(key, Encode(report), lease);
  if (!written && written.error().code == error_code::kNotFound)
    crash_lease_ = {};
  return written;
}

}  // namespace quincebank
