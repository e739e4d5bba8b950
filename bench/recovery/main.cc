// Recovery at the present size of Laminoir Saint-Laurent Menus: 16 engines, 3 plain services, 7
// entries in 3 failure domains, as processes on this machine. Callers send drafts and orders all
// the time and repeat what is safe.
//
// `faults` compares the time after each fault with a steady time without one, and measures how
// long what leaves still gets new work. `silence` does so for connections that go silent, with
// relays between entries and agents. `policies` compares the routing policies on the same
// processes, with the same seed and callers, through a drain and a sudden loss.

#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include "experiments.h"
#include "quincebank/base/log.h"
#include "quincebank/daemon/options.h"

namespace quincebank {
namespace {

struct experiment {
  const char* name;
  int (*run)(const bench_settings& settings);
};

constexpr experiment kExperiments[] = {{"faults", RunFaults},
                                       {"silence", RunSilence},
                                       {"policies", RunPolicies}};

int Run(const bench_settings& settings, const std::vector<std::string>& names) {
  int exit_code = kExitOk;
  bool known = false;
  for (const experiment& one : kExperiments) {
    if (!names.empty() && names.front() != one.name)
      continue;
    known = true;
    if (one.run(settings) != kExitOk)
      exit_code = kExitFailure;
  }
  if (!known) {
    std::cerr << "bench_recovery: unknown experiment '" << names.front() << "'\n";
    return kExitUsage;
  }
  return exit_code;
}

}  // namespace
}  // namespace quincebank

int main(int argc, char** argv) {
  using namespace quincebank;
  long long seed = 1;
  long long window_ms = 8'000;
  std::vector<std::string> names;
  const auto exit_code = ParseOptions(
      argc, argv, "[options] [faults|silence|policies]",
      {NumberOption("seed", "seed of the callers", 0, 1'000'000, seed),
       NumberOption("window-ms", "time from one fault to the next", 2'000, 600'000, window_ms)},
      &names);
  if (exit_code)
    return *exit_code;
  InitLogging(false);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  return Run({static_cast<std::uint64_t>(seed), milliseconds(window_ms)}, names);
}
