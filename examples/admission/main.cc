// Runs a gate by hand: warms it up, then offers more than it admits.

#include <cstdio>
#include <vector>

#include "quincebank/admission/admission.h"
#include "quincebank/base/digest.h"

namespace {

void Print(const char* what, const quincebank::admission_state& state) {
  std::printf("%-22s in flight %zu, queued %zu, limit %zu, %s\n", what, state.in_flight,
              state.queued, state.limit, state.name().data());
}

}  // namespace

int main() {
  using quincebank::milliseconds;
  quincebank::admission_settings settings;
  settings.full_limit = 8;
  settings.queue_limit = 8;
  settings.ramp.good_service_time = milliseconds(200);
  quincebank::admission_gate gate(settings);
  gate.OnUpstreamBoot(1);

  quincebank::time_point now{quincebank::seconds(1)};
  const std::uint64_t workspace = quincebank::StableHash64("garden");
  Print("at the start:", gate.State());
  while (gate.State().limit < settings.full_limit) {
    std::vector<quincebank::admission_ticket> running;
    while (gate.State().in_flight < gate.State().limit)
      running.push_back(gate.Offer({.workspace = workspace}, now).ticket);
    now += milliseconds(100);
    for (const auto ticket : running)
      gate.Finish(ticket, quincebank::work_outcome::kServed, milliseconds(100), now);
  }
  Print("after good work:", gate.State());

  for (int i = 0; i < 20; ++i) {
    const auto decision =
        gate.Offer({.workspace = workspace, .deadline = quincebank::seconds(10)}, now);
    if (decision.rejected())
      std::printf("rejected: %s, retry after %lld ms\n", decision.refused.failure.message.c_str(),
                  static_cast<long long>(decision.refused.retry_after.count()));
  }
  Print("after 20 offers:", gate.State());
  gate.OnUpstreamBoot(2);
  std::printf("shed by a restart: %zu\n", gate.ProcessQueue(now).shed.size());
  Print("after a restart:", gate.State());
  return 0;
}
