#include <getopt.h>

#include <cstdio>
#include <string_view>

#include "capacity_table.h"
#include "drift_table.h"

namespace {

constexpr int kLayers = 4;

constexpr const char* kUsage =
    "Usage: bench_experts [--capacity]\n"
    "  (none)      balance and moved bytes under drift, against the baselines\n"
    "  --capacity  planning time, memory and size of the map for several group sizes\n";

}  // namespace

int main(int argc, char** argv) {
  bool capacity = false;
  const option options[] = {{"capacity", no_argument, nullptr, 'c'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  for (int choice = 0; (choice = getopt_long(argc, argv, "ch", options, nullptr)) != -1;) {
    if (choice == 'c') {
      capacity = true;
      continue;
    }
    std::fputs(kUsage, choice == 'h' ? stdout : stderr);
    return choice == 'h' ? 0 : 2;
  }
  if (capacity) {
    quincebank::bench::PrintCapacityTable();
  } else {
    quincebank::bench::PrintDriftTable(kLayers);
  }
  return 0;
}
