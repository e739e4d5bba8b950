// Runs one scenario script, or prints the script that a seed draws.
//
//   run_scenario FILE [SEED]    exit status 1 if an invariant or expectation fails
//   run_scenario --draw SEED

#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <string_view>

#include "quincebank/scenario/fault_schedule.h"
#include "quincebank/scenario/world.h"

namespace {

bool ParseSeed(std::string_view text, std::uint64_t& seed) {
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), seed);
  return ec == std::errc() && end == text.data() + text.size();
}

int Usage() {
  std::cerr << "usage: run_scenario FILE [SEED] | run_scenario --draw SEED\n";
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace quincebank;
  std::uint64_t seed = 0;
  if (argc < 2 || argc > 3 || (argc == 3 && !ParseSeed(argv[2], seed)))
    return Usage();
  const std::string name = argv[1];
  if (name == "--draw") {
    if (argc != 3)
      return Usage();
    std::cout << scenario::DrawSchedule(seed, {});
    return 0;
  }
  std::ifstream file(name);
  if (!file) {
    std::cerr << name << ": can't be read\n";
    return 2;
  }
  std::stringstream text;
  text << file.rdbuf();
  scenario::order_policy rules;
  const auto report = scenario::RunScript(text.str(), seed, rules);
  if (!report) {
    std::cerr << name << ":" << Describe(report.error()) << "\n";
    return 2;
  }
  const scenario::scenario_report& result = report.value();
  for (const std::string& violation : result.violations)
    std::cout << name << ": seed " << seed << ": " << violation << "\n";
  std::cout << result.calls << " calls: " << result.answered << " answered, " << result.not_run
            << " not run, " << result.may_have_run << " may have run or ran without an answer, "
            << result.without_verdict << " lost their entry; " << result.events << " events\n";
  return result.violations.empty() ? 0 : 1;
}
