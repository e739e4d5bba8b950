#include "quincebank/fleet/fleet_records.h"

#include <gtest/gtest.h>

#include <functional>

namespace quincebank {
namespace {

upstream_record Record(const std::function<void(upstream_record&)>& change) {
  upstream_record record;
  record.id = "i-old";
  record.service = "s";
  record.address = {"10.0.0.1", 80};
  record.incarnation = 100;
  record.group = rank_membership{"g", 1, 3, 8, true};
  change(record);
  return record;
}

struct supersede_case {
  const char* name;
  std::function<void(upstream_record&)> change;  ///< Turns the old record into the other one.
  bool supersedes;
};

class supersede_test : public testing::TestWithParam<supersede_case> {};

// Guards against requests to a dead incarnation of an upstream, and against an unrelated record
// that marks a live upstream as superseded.
TEST_P(supersede_test, NewerIncarnationAtSameAddressOrRankSupersedes) {
  const upstream_record old = Record([](upstream_record&) {});
  EXPECT_EQ(Supersedes(Record(GetParam().change), old), GetParam().supersedes);
}

INSTANTIATE_TEST_SUITE_P(
    records,
    supersede_test,
    testing::Values(supersede_case{"same_address",
                                   [](upstream_record& r) {
                                     r.id = "i-new";
                                     r.incarnation = 200;
                                     r.group.reset();
                                   },
                                   true},
                    supersede_case{"same_rank",
                                   [](upstream_record& r) {
                                     r.id = "i-new";
                                     r.incarnation = 200;
                                     r.address.port = 81;
                                   },
                                   true},
                    supersede_case{"other_rank",
                                   [](upstream_record& r) {
                                     r.id = "i-new";
                                     r.incarnation = 200;
                                     r.address.port = 81;
                                     r.group->rank = 4;
                                   },
                                   false},
                    supersede_case{"older",
                                   [](upstream_record& r) {
                                     r.id = "i-new";
                                     r.incarnation = 50;
                                   },
                                   false},
                    supersede_case{"itself", [](upstream_record& r) { r.incarnation = 200; },
                                   false}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
