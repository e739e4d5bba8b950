// Plans the first map of a small group, slows one rank down, and prints why the map changes.

#include <boost/json/serialize.hpp>
#include <iostream>
#include <utility>

#include "quincebank/experts/plan_json.h"

int main() {
  using namespace quincebank;
  const group_shape shape{1, 4, 8, 3};
  plan_input input;
  input.speeds = {1000, 1000, 1000, 1000};
  input.steps_since_change = 50'000;
  // 8 experts, the first with most tokens: thousandths of a token per step.
  const std::vector<std::int64_t> popularity{900'000, 300'000, 200'000, 200'000,
                                             100'000, 100'000, 100'000, 100'000};
  input.popularity = {{popularity, popularity, std::vector<std::int64_t>(8, 0)}};

  auto first = PlanRebalance(shape, input);
  if (!first.has_value()) {
    std::cerr << Describe(first.error()) << '\n';
    return 1;
  }
  input.current = std::move(first.value().map);
  input.speeds[0] = 400;
  const auto next = PlanRebalance(shape, input);
  if (!next.has_value()) {
    std::cerr << Describe(next.error()) << '\n';
    return 1;
  }
  const decision_record record = RecordPlan("group-1", shape, input, next.value());
  std::cout << boost::json::serialize(record.outcome) << '\n';
  const auto replayed = ReplayPlan(record);
  const bool same = replayed.has_value() && replayed.value() == record.outcome;
  std::cout << "replayed: " << (same ? "same outcome" : "another outcome") << '\n';
  return same ? 0 : 1;
}
