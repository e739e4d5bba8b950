#include <array>
#include <boost/json/array.hpp>
#include <cstdio>
#include <iostream>
#include <thread>
#include <vector>

#include "bench_system.h"
#include "callers.h"
#include "experiments.h"
#include "quincebank/base/clock.h"
#include "quincebank/daemon/options.h"
#include "quincebank/routing/choose.h"
#include "report.h"

namespace quincebank {
namespace {

// Callers run this long before the first window, so that all caches and estimates are warm.
constexpr milliseconds kWarmUp{4'000};

// 48 callers of drafts keep half of the places of 16 engines busy, and 73% of those of 11.
constexpr int kTightLimit = 6;

/// Windows of one change of the failure domain.
struct change_windows {
  const char* change;
  std::array<fault_window, 3> windows;  ///< Before, out, return.
};

class policy_run {
 public:
  policy_run(bench_system& system, const bench_settings& settings, std::string_view policy)
      : system_(system), settings_(settings), policy_(policy) {}

  [[nodiscard]] bool Run() {
    const auto set = system_.Edit([this](boost::json::object& document) {
      for (boost::json::value& service : document["services"].as_object()["services"].as_array())
        service.as_object()["policy"] = policy_;
    });
    if (!set)
      return false;
    const std::int64_t crashes = system_.Crashes();
    callers_plan plan;
    plan.seed = settings_.seed;
    plan.order_prefix = policy_;
    callers load(system_.processes(), plan);
    std::this_thread::sleep_for(kWarmUp);
    const change_windows drain = Change(
        "drained", [this] { return system_.SetDomain("drain"); },
        [this] { return system_.SetDomain("return"); });
    const change_windows loss = Change(
        "lost",
        [this] {
          const time_point at = Now();
          system_.LoseDomain();
          return std::optional(at);
        },
        [this] {
          const time_point at = Now();
          system_.RestartDomain();
          return std::optional(at);
        });
    load.Stop();
    if (failed_)
      return false;
    const order_check check = CheckOrders(system_.processes(), kOrderServices, load.records());
    for (const change_windows& change : {drain, loss}) {
      Print(load.records(), call_kind::kDraft, change);
      Print(load.records(), call_kind::kOrder, change);
    }
    std::printf("%s: ", policy_.c_str());
    quincebank::Print(check);
    // Engines that were killed have lost their count, so this counts only those since.
    std::printf("%s: crashes of cold engines %lld before and %lld after\n", policy_.c_str(),
                static_cast<long long>(crashes), static_cast<long long>(system_.Crashes()));
    return true;
  }

 private:
  template <typename Out, typename Return>
  change_windows Change(const char* name, const Out& out, const Return& back) {
    change_windows change{name, {}};
    const time_point before = Now();
    std::this_thread::sleep_for(settings_.window);
    const auto left = out();
    std::this_thread::sleep_for(settings_.window);
    const auto returned = back();
    std::this_thread::sleep_for(settings_.window);
    failed_ = failed_ || !left || !returned;
    if (failed_)
      return change;
    change.windows = {{{"before", before, *left},
                       {"out", *left, *returned},
                       {"return", *returned, *returned + settings_.window}}};
    return change;
  }

  void Print(const std::vector<call_record>& records,
             call_kind kind,
             const change_windows& change) const {
    std::printf("%-12s | %-7s | %-6s |", policy_.c_str(), change.change,
                kind == call_kind::kDraft ? "drafts" : "orders");
    for (const fault_window& window : change.windows) {
      const window_counts counts = Count(records, kind, window, {});
      const double share = counts.ended == 0
                               ? 0.0
                               : 100.0 * static_cast<double>(counts.ended - counts.not_answered) /
                                     static_cast<double>(counts.ended);
      std::printf(" %5d | %6.2f | %5d | %5lld | %5lld |", counts.ended, share, counts.refusals,
                  static_cast<long long>(counts.p95.count()),
                  static_cast<long long>(counts.longest.count()));
    }
    std::printf("\n");
  }

  bench_system& system_;
  const bench_settings& settings_;
  const std::string policy_;
  bool failed_ = false;
};

}  // namespace

int RunPolicies(const bench_settings& settings) {
  bench_system system(false, kTightLimit);
  const auto started = system.Start();
  if (!started) {
    std::cerr << started.error().message << "\n";
    return kExitFailure;
  }
  std::printf("\npolicies, seed %llu; whole times in ms\n",
              static_cast<unsigned long long>(settings.seed));
  std::printf("%-12s | %-7s | %-6s |%-39s|%-39s|%s\n", "", "", "", " before", " out", " return");
  std::printf("%-12s | %-7s | %-6s |", "policy", "change", "kind");
  for (int i = 0; i < 3; ++i)
    std::printf(" ended | succ %% |  refu |   p95 |   max |");
  std::printf("\n");
  for (const route_policy& policy : RoutePolicies()) {
    if (!policy_run(system, settings, policy.name).Run())
      return kExitFailure;
  }
  return kExitOk;
}

}  // namespace quincebank
