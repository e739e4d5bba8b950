#include "quincebank/expert_group/map_records.h"

#include <gtest/gtest.h>

#include <map>

namespace quincebank {
namespace {

/// Keeps values in memory and loses the answers of some writes.
class memory_kv final : public kv_store {
 public:
  result<std::optional<kv_entry>> Get(std::string_view key) override {
    ++reads;
    if (down)
      return Down();
    const auto found = values.find(std::string(key));
    if (found == values.end())
      return std::optional<kv_entry>();
    return std::optional<kv_entry>(kv_entry{found->second, 1});
  }
  result<bool> CompareAndSwap(std::string_view key,
                              std::string_view value,
                              std::uint64_t expected) override {
    EXPECT_EQ(expected, kKvAbsent);
    if (down)
      return Down();
    const bool created = values.try_emplace(std::string(key), value).second;
    if (lose_answers > 0) {
      --lose_answers;
      return Down();
    }
    return created;
  }
  result<void> Erase(std::string_view) override { return Down(); }
  result<bool> EraseIf(std::string_view, std::uint64_t) override { return Down(); }
  result<std::optional<kv_entry>> Watch(std::string_view, std::uint64_t, milliseconds) override {
    return Down();
  }
  result<std::string> OpenLease(milliseconds) override { return Down(); }
  result<void> RenewLease(std::string_view) override { return Down(); }
  result<bool> Acquire(std::string_view, std::string_view, std::string_view) override {
    return Down();
  }

  std::map<std::string, std::string> values;
  int lose_answers = 0;
  int reads = 0;
  bool down = false;

 private:
  static error Down() { return MakeError(error_code::kUnavailable, "down", verdict::kMayHaveRun); }
};

switch_decision Decision(map_epoch epoch, bool commit) {
  if (!commit)
    return {epoch, switch_verdict::kAbort, 0, {}, {}};
  return {epoch, switch_verdict::kCommit, 100 * epoch, DigestOfMap(std::to_string(epoch)), {}};
}

struct history_case {
  const char* name;
  int decided;
  int committed;  ///< Epoch of the last commit; 0 if there is none.
};

class map_history_test : public testing::TestWithParam<history_case> {};

// Guards against a restarted agent that misses the last record or the last committed map.
TEST_P(map_history_test, IsFoundWithoutAHint) {
  memory_kv kv;
  map_records writer(kv, "g");
  for (map_epoch epoch = 1; epoch <= static_cast<map_epoch>(GetParam().decided); ++epoch) {
    const bool commit = epoch <= static_cast<map_epoch>(GetParam().committed);
    ASSERT_TRUE(writer.Create(Decision(epoch, commit)).has_value());
  }
  kv.reads = 0;
  map_records reader(kv, "g");
  const auto history = reader.ReadHistory();
  ASSERT_TRUE(history.has_value());
  EXPECT_EQ(history.value().decided, static_cast<map_epoch>(GetParam().decided));
  const auto committed = static_cast<map_epoch>(GetParam().committed);
  EXPECT_EQ(history.value().committed,
            committed == 0 ? switch_decision{} : Decision(committed, true));
  // A second look asks the service again, with one read if nothing has changed.
  kv.reads = 0;
  EXPECT_EQ(reader.ReadHistory().value().decided, history.value().decided);
  EXPECT_EQ(kv.reads, 1);
  kv.down = true;
  EXPECT_FALSE(reader.ReadHistory().has_value());
}

INSTANTIATE_TEST_SUITE_P(Histories,
                         map_history_test,
                         testing::Values(history_case{"none", 0, 0},
                                         history_case{"one", 1, 1},
                                         history_case{"aborts_only", 5, 0},
                                         history_case{"abort_last", 12, 9},
                                         history_case{"long", 1'000, 1'000}),
                         [](const auto& info) { return info.param.name; });

// Guards against a second decision of one epoch, and against forgetting one whose answer was lost.
TEST(map_records_test, FirstRecordStands) {
  memory_kv kv;
  map_records one(kv, "g");
  map_records other(kv, "g");
  kv.lose_answers = 1;
  EXPECT_FALSE(one.Create(Decision(1, true)).has_value());
  EXPECT_EQ(other.Create(Decision(1, false)).value(), Decision(1, true));
  EXPECT_EQ(one.Create(Decision(1, true)).value(), Decision(1, true));
}

// Guards against staging a map that isn't the one decided on.
TEST(map_records_test, MapBodyMustMatchItsDigest) {
  memory_kv kv;
  map_records records(kv, "g");
  const map_digest digest = DigestOfMap("{}");
  EXPECT_FALSE(records.FetchMap(digest).has_value());
  ASSERT_TRUE(records.StoreMap(digest, "{}").has_value());
  ASSERT_TRUE(records.StoreMap(digest, "{}").has_value());
  EXPECT_EQ(records.FetchMap(digest).value(), "{}");
  kv.values.begin()->second = "[]";
  EXPECT_FALSE(records.FetchMap(digest).has_value());
}

}  // namespace
}  // namespace quincebank
