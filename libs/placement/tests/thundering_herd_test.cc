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

/// Simulates several entries and returns the share of requests that are sent to an engine with a
/// full batch. As in production, requests run for 1.5 s and loads are reported every 250 ms.
///
/// \param query_loads  whether current loads are queried if `ChooseUpstream` suggests it.
double ShareOverflowing(const herd_case& site, bool query_loads) {
  constexpr milliseconds kServiceTime{1'500};
  constexpr milliseconds kReportPeriod{250};
  constexpr milliseconds kLength{60'000};
  constexpr int kQueue = 4;
  random_source random(7);
  std::vector<std::vector<int>> own(site.entries, std::vector<int>(site.engines, 0));
  std::vector<std::vector<int>> other_requests = own;
  std::vector<int> total(site.engines, 0);
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
    for (std::size_t engine = 0; engine < site.engines; ++engine) {
      // Engines report at different times.
      if ((now.count() + static_cast<std::int64_t>(engine) * 37) % kReportPeriod.count() != 0)
        continue;
      for (std::size_t entry = 0; entry < site.entries; ++entry)
        other_requests[entry][engine] = total[engine] - own[entry][engine];
    }
    if (random.Unit() * 1'000 >= site.requests_per_s)
      continue;
    const std::size_t entry = random.Below(site.entries);
    std::vector<placement_candidate> candidates(site.engines);
    const auto update_candidate = [&](std::size_t engine) {
      candidates[engine].in_flight = own[entry][engine];
      candidates[engine].reported = other_requests[entry][engine];
      candidates[engine].slots = site.slots;
      candidates[engine].limit = site.slots + kQueue;
    };
    for (std::size_t engine = 0; engine < site.engines; ++engine)
      update_candidate(engine);
    const placement placed = ChooseUpstream(candidates, random);
    if (!placed.chosen)
      continue;
    std::size_t chosen = *placed.chosen;
    if (query_loads && placed.query_loads) {
      std::vector<std::size_t> queried{chosen};
      queried.insert(
          queried.end(), placed.alternatives.begin(),
          placed.alternatives.begin() + static_cast<std::ptrdiff_t>(placed.alternative_count));
      std::vector<placement_candidate> answered;
      for (const std::size_t engine : queried) {
        other_requests[entry][engine] = total[engine] - own[entry][engine];
        update_candidate(engine);
        answered.push_back(candidates[engine]);
      }
      const placement better = ChooseUpstream(answered, random);
      if (!better.chosen)
        continue;
      chosen = queried.at(*better.chosen);
    }
    ++sent;
    overflowing += total[chosen] >= site.slots ? 1 : 0;
    ++own[entry][chosen];
    ++total[chosen];
    running.push_back({now + kServiceTime, entry, chosen});
  }
  return static_cast<double>(overflowing) / sent;
}

class herd_test : public testing::TestWithParam<herd_case> {};

// Guards against entries that all send to the engine with the lowest reported load: its batch
// overflows, and all ranks of its group wait for it. The utilization of the engines is about 60%.
TEST_P(herd_test, FewRequestsFindAFullBatch) {
  EXPECT_LE(ShareOverflowing(GetParam(), false), 0.01);
  EXPECT_LE(ShareOverflowing(GetParam(), true), 0.01);
}

INSTANTIATE_TEST_SUITE_P(sites,
                         herd_test,
                         testing::Values(herd_case{"current_size", 6, 16, 12, 77},
                                         herd_case{"grown", 44, 64, 10, 256}),
                         [](const auto& info) { return std::string(info.param.name); });

class burst_test : public testing::TestWithParam<herd_case> {};

// Guards against a burst in which requests wait for a whole answer at full engines while others
// have free slots. The utilization of the engines is 85%, and load reports are older than the time
// between two requests to one engine.
TEST_P(burst_test, LoadQueriesAvoidFullEngines) {
  const double without_queries = ShareOverflowing(GetParam(), false);
  const double with_queries = ShareOverflowing(GetParam(), true);
  EXPECT_LE(with_queries, without_queries / 2) << without_queries;
  RecordProperty("without_queries_per_mille", static_cast<int>(without_queries * 1'000));
  RecordProperty("with_queries_per_mille", static_cast<int>(with_queries * 1'000));
}

INSTANTIATE_TEST_SUITE_P(sites,
                         burst_test,
                         testing::Values(herd_case{"current_size", 6, 16, 12, 109},
                                         herd_case{"evacuated", 37, 48, 10, 272},
                                         herd_case{"large", 98, 192, 6, 653}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace quincebank
