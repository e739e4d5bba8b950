#include <getopt.h>

#include <cstdio>
#include <string_view>

#include "capacity_table.h"
#include "counts_table.h"
#include "drift_table.h"
#include "shift_table.h"
#include "straggler_table.h"

namespace {

constexpr int kLayers = 4;

constexpr const char* kUsage =
    "Usage: bench_experts [--capacity | --stragglers | --counts | --shifts]\n"
    "  (none)      balance and moved bytes under drift, against the baselines\n"
    "  --capacity  planning time, memory and size of the map for several group sizes\n"
    "  --stragglers  estimated against equal and known speeds of the ranks\n"
    "  --counts      bytes, delay and error of the token counts at the coordinator\n"
    "  --shifts      how plans with even shares follow popularity that shifts\n";

}  // namespace

int main(int argc, char** argv) {
  bool capacity = false;
  bool stragglers = false;
  bool counts = false;
  bool shifts = false;
  const option options[] = {
      {"capacity", no_argument, nullptr, 'c'}, {"stragglers", no_argument, nullptr, 's'},
      {"counts", no_argument, nullptr, 'n'},   {"shifts", no_argument, nullptr, 'e'},
      {"help", no_argument, nullptr, 'h'},     {nullptr, 0, nullptr, 0}};
  for (int choice = 0; (choice = getopt_long(argc, argv, "csneh", options, nullptr)) != -1;) {
    if (choice == 'c') {
      capacity = true;
      continue;
    }
    if (choice == 's') {
      stragglers = true;
      continue;
    }
    if (choice == 'n') {
      counts = true;
      continue;
    }
    if (choice == 'e') {
      shifts = true;
      continue;
    }
    std::fputs(kUsage, choice == 'h' ? stdout : stderr);
    return choice == 'h' ? 0 : 2;
  }
  if (capacity) {
    quincebank::bench::PrintCapacityTable();
  } else if (stragglers) {
    quincebank::bench::PrintStragglerTable(kLayers);
  } else if (counts) {
    quincebank::bench::PrintCountsTable();
  } else if (shifts) {
    quincebank::bench::PrintShiftTable();
  } else {
    quincebank::bench::PrintDriftTable(kLayers);
  }
  return 0;
}
