// Counts requests on two nodes and prints the merged burn report.

#include <cstdio>

#include "quincebank/telemetry/telemetry.h"

int main() {
  using quincebank::milliseconds;
  const std::vector<quincebank::objective> objectives{
      {.service = "munshi", .latency_threshold = milliseconds(1200)},
      {.service = "munshi", .workspace = "garden", .latency_threshold = milliseconds(800)},
      {.service = "bahi", .availability = 0.9999, .latency_threshold = milliseconds(50)}};
  const quincebank::burn_settings settings;
  const quincebank::time_point start{quincebank::seconds(1)};
  const quincebank::time_point now = start + quincebank::seconds(240);

  quincebank::burn_counts merged;
  for (const char* node : {"entry-1", "entry-2"}) {
    const quincebank::ref_ptr<quincebank::objective_table> table(
        new quincebank::objective_table(objectives, settings, start));
    for (int i = 0; i < 1000; ++i) {
      table->RecordServed("munshi", i % 4 == 0 ? "garden" : "lanterns",
                          milliseconds(i % 10 == 0 ? 1500 : 400), now);
    }
    for (int i = 0; i < 20; ++i)
      table->RecordFailed("munshi", "garden", now);
    const auto added = merged.Merge(table->Counts(node, now));
    if (!added)
      std::printf("%s\n", quincebank::Describe(added.error()).c_str());
  }
  std::printf("%s", ToText(MakeBurnReport(merged, objectives, settings)).c_str());
  return 0;
}
