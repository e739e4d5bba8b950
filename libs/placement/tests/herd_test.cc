#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "quincebank/placement/choose_upstream.h"

namespace quincebank {
namespace {

struct herd_case {
  const char* name;
  std::size_t entries;
  std::size_t engines;
  int slots;
  double requests_per_s;
};

class herd_test : public testing::TestWithParam<herd_case> {};

// Guards against entries that all send to the engine that was idle when it last told its load: its
// batch overflows, and all ranks of its group wait for it. Requests run for 1.5 s, loads are told
// every 250 ms, as at the sites of the users; the engines are busy to about 60%.
TEST_P(herd_test, FewRequestsFindAFullBatch) {
  constexpr milliseconds kRun{1'500};
  constexpr milliseconds kTold{250};
  constexpr milliseconds kLength{60'000};
  const herd_case& given = GetParam();
  random_source random(7);
  std::vector<std::vector<int>> own(given.entries, std::vector<int>(given.engines, 0));
  std::vector<std::vector<int>> others = own;
  std::vector<int> total(given.engines, 0);
  struct running_request {
    milliseconds end;
    std::size_t entry;
    std::size_t engine;
  };
  std::vector<running_request> running;
  int sent = 0;
  int overflowing = 0;
  for (milliseconds now{0}; now < kLength; ++now) {
    std::erase_if(running, [&](const running_request& request) {
      if (request.end > now)
        return false;
      --own[request.entry][request.engine];
      --total[request.engine];
      return true;
    });
    for (std::size_t engine = 0; engine < given.engines; ++engine) {
      // Engines tell at different moments.
      if ((now.count() + static_cast<std::int64_t>(engine) * 37) % kTold.count() != 0)
        continue;
      for (std::size_t entry = 0; entry < given.entries; ++entry)
        others[entry][engine] = total[engine] - own[entry][engine];
    }
    if (random.Unit() * 1'000 >= given.requests_per_s)
      continue;
    const std::size_t entry = random.Below(given.entries);
    std::vector<placement_candidate> candidates(given.engines);
    for (std::size_t engine = 0; engine < given.engines; ++engine) {
      candidates[engine].in_flight = own[entry][engine];
      candidates[engine].reported = others[entry][engine];
      candidates[engine].slots = given.slots;
      candidates[engine].limit = given.slots + 1;
    }
    const placement placed = ChooseUpstream(candidates, random);
    ASSERT_TRUE(placed.chosen);
    ++sent;
    overflowing += total[*placed.chosen] >= given.slots ? 1 : 0;
    ++own[entry][*placed.chosen];
    ++total[*placed.chosen];
    running.push_back({now + kRun, entry, *placed.chosen});
  }
  EXPECT_LE(overflowing, sent / 100);
}

INSTANTIATE_TEST_SUITE_P(sites,
                         herd_test,
                         testing::Values(herd_case{"today", 6, 16, 12, 77},
                                         herd_case{"grown", 44, 64, 10, 256}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
