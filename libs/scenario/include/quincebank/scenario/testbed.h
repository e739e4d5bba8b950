#pragma once

#include <map>
#include <memory>
#include <string>

#include "quincebank/idempotency/retention.h"
#include "quincebank/scenario/event_loop.h"
#include "quincebank/scenario/fake_store.h"
#include "quincebank/scenario/network.h"
#include "quincebank/scenario/order_book.h"
#include "quincebank/scenario/order_policy.h"

namespace quincebank::scenario {

class fake_agent;
class fake_entry;

/// \brief Parts that the fakes of one run share.
struct testbed {
  testbed(std::uint64_t seed, order_policy& rules);
  ~testbed();
  testbed(const testbed&) = delete;
  testbed& operator=(const testbed&) = delete;

  [[nodiscard]] seconds RetentionOf(const std::string& node) const {
    const auto found = retention.find(node);
    return found == retention.end() ? kKeyRetention : found->second;
  }

  event_loop loop;
  network links;
  fake_store store;
  order_book book;
  order_policy& policy;
  bool forwarding = false;  ///< Entries forward claims to the preferred entry of a bucket.
  bool retries = true;      ///< Whether the retry budget grants permission.
  /// Claim retention in the configuration that each process holds, if not the default.
  std::map<std::string, seconds> retention;
  std::map<std::string, std::unique_ptr<fake_agent>> agents;
  std::map<std::string, std::unique_ptr<fake_entry>> entries;
};

}  // namespace quincebank::scenario
