#include "spread.h"

#include <algorithm>
#include <cstdio>
#include <vector>

#include "fleet_model.h"

namespace quincebank {
namespace {

constexpr std::size_t kFleetSizes[] = {20, 200, 500, 1020};
constexpr std::uint64_t kSeeds[] = {1, 2, 3};
constexpr milliseconds kLimit{30'000};
constexpr milliseconds kSettled{5'000};
constexpr double kChangesPerDay = 1'400;
constexpr seconds kDay{86'400};
constexpr int kChanges = 2;
/// Sections of a document for 50,000 workspaces at 500 to a section.
constexpr std::size_t kSections = 100;
constexpr std::size_t kPerSection = 10;

struct spread_row {
  const char* name;
  double loss;
  bool service_fails;
  std::size_t offers;
};

constexpr spread_row kRows[] = {
    {"watch and polls only", 0, false, 0},
    {"watch and polls only, 20% lost", 0.2, false, 0},
    {"service down after the write, 8 offers, 20% lost", 0.2, true, 8},
    {"service down after the write, all offers, 20% lost", 0.2, true, SIZE_MAX},
};

milliseconds SpreadOf(const spread_row& row, std::size_t nodes, std::uint64_t seed) {
  fleet_model fleet({nodes, 2, row.loss, seed});
  fleet.Write(false);
  fleet.RunUntilHeld(1, kLimit);
  fleet.RunUntil(fleet.now() + kSettled);
  const milliseconds written = fleet.now();
  const std::uint64_t version = fleet.Write(true);
  if (row.service_fails)
    fleet.SetServiceUp(false);
  fleet.Offer(row.offers);
  if (!fleet.RunUntilHeld(version, written + kLimit))
    return milliseconds(-1);
  return fleet.last_adoption() - written;
}

}  // namespace

void PrintSpread() {
  std::puts("Time until the last node holds a change, ms, worst of 3 seeds (30000: not in time)\n");
  std::puts("| fault | 20 nodes | 200 | 500 | 1,020 |");
  std::puts("|---|---|---|---|---|");
  for (const spread_row& row : kRows) {
    std::printf("| %s |", row.name);
    for (const std::size_t nodes : kFleetSizes) {
      milliseconds worst{0};
      for (const std::uint64_t seed : kSeeds) {
        const milliseconds spread = SpreadOf(row, nodes, seed);
        worst = spread.count() < 0 ? kLimit : std::max(worst, spread);
      }
      std::printf(" %lld |", static_cast<long long>(worst.count()));
    }
    std::puts("");
  }
  std::puts("");
}

void PrintSteadyTraffic() {
  std::puts("Steady traffic at 1,400 changes a day, 100 sections, offers to all nodes, 0 lost\n");
  std::puts(
      "| nodes | messages/s per node | bytes/s per node, mean | most | reads/s | writes/s "
      "| watches/s |");
  std::puts("|---|---|---|---|---|---|---|");
  const milliseconds gap(
      static_cast<milliseconds::rep>(1'000.0 * static_cast<double>(kDay.count()) / kChangesPerDay));
  for (const std::size_t nodes : kFleetSizes) {
    fleet_model fleet({nodes, 2, 0, 1, kSections * kPerSection, kPerSection});
    fleet.Write(false);
    fleet.RunUntilHeld(1, kLimit);
    fleet.RunUntil(fleet.now() + kSettled);
    const fleet_counts before = fleet.counts();
    const std::vector<std::uint64_t> bytes_before = fleet.node_bytes();
    for (int i = 0; i < kChanges; ++i) {
      fleet.Write(i % 2 == 0);
      fleet.Offer();
      fleet.RunUntil(fleet.now() + gap);
    }
    const double time = kChanges * static_cast<double>(gap.count()) / 1'000;
    const auto count = static_cast<double>(nodes);
    const fleet_counts& after = fleet.counts();
    double sum = 0;
    double most = 0;
    for (std::size_t i = 0; i < nodes; ++i) {
      const auto bytes = static_cast<double>(fleet.node_bytes()[i] - bytes_before[i]);
      sum += bytes;
      most = std::max(most, bytes);
    }
    // Each message is counted once at its sender and once at its receiver.
    std::printf("| %zu | %.1f | %.0f | %.0f | %.3f | %.3f | %.2f |\n", nodes,
                2 * static_cast<double>(after.messages - before.messages) / time / count,
                sum / time / count, most / time,
                static_cast<double>(after.reads - before.reads) / time,
                static_cast<double>(after.writes - before.writes) / time,
                static_cast<double>(after.watches - before.watches) / time);
  }
  std::puts("");
}

}  // namespace quincebank
