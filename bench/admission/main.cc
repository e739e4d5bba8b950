// Experiment "Limits and retries" of docs/design.md, section 8, on a virtual clock.

#include <getopt.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "experiments.h"

namespace {

struct experiment {
  std::string_view name;
  void (*run)(std::uint64_t seed);
};

constexpr std::array kExperiments{
    experiment{"goodput", quincebank::bench::RunGoodput},
    experiment{"fairness", quincebank::bench::RunFairness},
    experiment{"retries", quincebank::bench::RunRetries},
    experiment{"entries", quincebank::bench::RunEntries},
    experiment{"hedging", quincebank::bench::RunHedging},
    experiment{"cold_start", quincebank::bench::RunColdStart},
    experiment{"slopes", quincebank::bench::RunSlopes},
};

}  // namespace

int main(int argc, char** argv) {
  constexpr std::array<option, 4> kOptions{{{"seed", required_argument, nullptr, 's'},
                                            {"only", required_argument, nullptr, 'o'},
                                            {"help", no_argument, nullptr, 'h'},
                                            {nullptr, 0, nullptr, 0}}};
  std::uint64_t seed = 1;
  std::string_view only;
  for (int choice = 0;
       (choice = getopt_long(argc, argv, "s:o:h", kOptions.data(), nullptr)) != -1;) {
    if (choice == 's') {
      seed = std::strtoull(optarg, nullptr, 10);
    } else if (choice == 'o') {
      only = optarg;
    } else {
      std::fprintf(stderr,
                   "usage: bench_admission [--seed N] "
                   "[--only goodput|fairness|retries|entries|hedging|cold_start|slopes]\n");
      return choice == 'h' ? 0 : 2;
    }
  }
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  for (const experiment& one : kExperiments) {
    if (only.empty() || only == one.name)
      one.run(seed);
  }
  return 0;
}
