#include "quincebank/scenario/testbed.h"

#include "quincebank/scenario/fake_agent.h"
#include "quincebank/scenario/fake_entry.h"

namespace quincebank::scenario {

testbed::testbed(std::uint64_t seed, order_policy& rules)
    : loop(seed), links(loop), store(loop, links), policy(rules) {
  loop.Start("caller");
}

testbed::~testbed() = default;

}  // namespace quincebank::scenario
