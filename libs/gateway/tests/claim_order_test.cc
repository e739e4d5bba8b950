#include "quincebank/gateway/claim_order.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace quincebank {
namespace {

// Guards against two entries that claim a role at the same time because they compute the same
// position, and against a coordinator on a host that is too small to plan expert maps in time while
// larger hosts are available.
TEST(claim_order, OrdersAllEntriesLargerHostsFirst) {
  std::vector<entry_record> entries;
  for (int i = 0; i < 12; ++i) {
    entry_record entry;
    entry.name = "entry-" + std::to_string(i);
    entry.cores = i < 4 ? 0.5 : 0.24;
    entries.push_back(entry);
  }
  std::set<std::size_t> positions;
  for (const entry_record& entry : entries) {
    const std::size_t position = CountEarlierClaimants("role", {entry.name, entry.cores}, entries);
    positions.insert(position);
    EXPECT_EQ(position < 4, entry.cores == 0.5) << entry.name;
  }
  EXPECT_EQ(positions.size(), entries.size());
}

}  // namespace
}  // namespace quincebank
