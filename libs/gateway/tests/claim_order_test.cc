#include "quincebank/gateway/claim_order.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace quincebank {
namespace {

// Guards against entries that claim a role at the same moment, and against a coordinator on a host
// that is too small to plan in time while larger ones are there.
TEST(claim_order, OrdersAllEntriesLargerHostsFirst) {
  std::vector<entry_record> entries;
  for (int i = 0; i < 12; ++i) {
    entry_record entry;
    entry.name = "entry-" + std::to_string(i);
    entry.cores = i < 4 ? 0.5 : 0.24;
    entries.push_back(entry);
  }
  std::set<std::size_t> turns;
  for (const entry_record& entry : entries) {
    const std::size_t turn = CountEarlierClaimants("role", {entry.name, entry.cores}, entries);
    turns.insert(turn);
    EXPECT_EQ(turn < 4, entry.cores == 0.5) << entry.name;
  }
  EXPECT_EQ(turns.size(), entries.size());
}

}  // namespace
}  // namespace quincebank
