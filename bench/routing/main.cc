// Experiments on routing. Prints tables; see docs/notes/routing.md.
#include <array>
#include <cstdio>
#include <string_view>

#include "report.h"

namespace {

struct mode {
  std::string_view name;
  void (*run)();
};

constexpr std::array<mode, 3> kModes{{
    {"decision", quincebank::RunDecisionTime},
    {"experiment", quincebank::RunExperiment},
    {"domain-change", quincebank::RunDomainChange},
}};

}  // namespace

int main(int argc, char** argv) {
  if (argc > 2) {
    std::fputs("usage: bench_routing [decision|experiment|domain-change]\n", stderr);
    return 2;
  }
  const std::string_view wanted = argc == 2 ? argv[1] : "";
  bool ran = false;
  for (const mode& one : kModes) {
    if (!wanted.empty() && wanted != one.name)
      continue;
    one.run();
    ran = true;
  }
  if (!ran)
    std::fputs("unknown mode; known are decision, experiment and domain-change\n", stderr);
  return ran ? 0 : 2;
}
